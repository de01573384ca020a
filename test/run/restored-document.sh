# Guards against a configuration that stays out of force, or is replaced by an
# older one, because the store was restored from a copy: the revision of a later
# change is then lower than those of earlier ones.
. test/run/lib-platform.sh
. test/run/lib-restore.sh

# config_with ROUTE...: the configuration with a further route to the service
# desk for each path prefix.
config_with() {
	local rows= name
	for name in "$@"; do
		rows="$rows,[\"$name\",\"a.example\",\"/$name/\",
			\"non_idempotent\",\"2000ms\",\"500ms\",1,null,2,
			[{\"service\":\"desk\",\"weight\":1}]]"
	done
	printf '%s' "${config/]]\},\"services\"/]$rows]\},\"services\"}"
}

is_routed() { # is_routed I NAME
	[ "$(request_status "$1" "/$2/x")" = 200 ]
}

# watch_routes I: writes the status of each new route on daemon I, over and over.
watch_routes() {
	local name
	while :; do
		for name in q r s; do
			echo "$name $(request_status "$1" "/$name/x")"
		done >>"$WORK/routes-$1"
		sleep 0.05
	done
}

# put_in_time NAME ROUTE...: writes the configuration and tells for each daemon
# whether the route NAME is in force within 2 s of the store's answer. Looks for
# 8 s, to tell a late change from one that is never in force.
put_in_time() {
	local name=$1 start i took
	shift
	start=$(wall_ms)
	put_config "$(config_with "$@")"
	echo "$name written after $(($(wall_ms) - start)) ms" >&2
	start=$(wall_ms)
	for i in 0 1 2; do
		until is_routed $i "$name" ||
			[ $(($(wall_ms) - start)) -gt 8000 ]; do
			sleep 0.05
		done
		took=$(($(wall_ms) - start))
		echo "n$i: $name after $took ms" >&2
		[ "$took" -le 2000 ] && echo "n$i: $name in force within 2 s" ||
			echo "n$i: $name not in force within 2 s"
	done
}

config_revision() {
	curl -s "http://127.0.0.1:$KV/api/kv-key?key=op/config" |
		sed -n 's/.*"revision": *\([0-9]*\).*/\1/p'
}

start_platform_fleet
put_config "$config"
wait_for 10 "readiness" is_ready 0
wait_for 15 "all keys" all_keys_served 0
wait_for 15 "the end of the moves" map_is_settled
for i in 0 1 2; do
	watch_routes $i &
	process_ids[watch$i]=$!
done
copy_store
# Revisions that are not reached again.
for i in $(seq 40); do
	curl -s -o /dev/null -d x "http://127.0.0.1:$KV/control/put?key=x/$i"
done
put_in_time q q
put_in_time r q r
before=$(config_revision)
restore_store op/
sleep 1
put_in_time s q r s
after=$(config_revision)
echo "revisions: $before, after the restore $after" >&2
[ "$after" -lt "$before" ] && echo "the last change has a lower revision"
sleep 3
kill_processes watch0 watch1 watch2
for i in 0 1 2; do
	grep -q '^r 200' "$WORK/routes-$i" && echo "n$i: routes watched"
	awk -v node="n$i" '$2 == 200 { seen[$1] = 1 }
		$2 == 404 && seen[$1] { back[$1] = 1 }
		END { for (r in back) print node ": went back before " r }' \
		"$WORK/routes-$i"
done
echo "end"
