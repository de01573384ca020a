# Guards against a change that stays unapplied because the coordinator alone is
# cut off from the store, while the other nodes reach it but wait for watches
# that have gone silent. A node in touch has it in force within 2 s.
announce_ms=870ms
hold_max_ms=10s
. test/run/lib-platform.sh

start_process kv "$BIN/mpin-kvstore" "$KV"
wait_listening kv "$KV"
start_process relay "$BIN/mpin-relay" --control $((PORT + 150)) \
	--forward "$((PORT + 160)):127.0.0.1:$KV" \
	--forward "$((PORT + 161)):127.0.0.1:$KV" \
	--forward "$((PORT + 162)):127.0.0.1:$KV"
wait_for 10 "relay" is_listening $((PORT + 150))
for i in 0 1 2; do
	[ "$i" = 2 ] && service=desk || service=cal
	store_port=$((PORT + 160 + i)) start_daemon $i $service
	start_server $i $service "i-$i"
done
put_config "$config"
wait_for 10 "readiness" is_ready 0
wait_for 15 "all keys" all_keys_served 0

set_store_relay() { # set_store_relay I QUERY
	curl -sf -X POST "http://127.0.0.1:$((PORT + 150))/set?listen=$((
		PORT + 160 + $1))&$2" >/dev/null || fail "relay command $2"
}

coordinator_index() { # prints I of the coordinator
	"$BIN/mpinctl" --interface platform --store "http://127.0.0.1:$KV" \
		--json status 2>/dev/null |
		sed -n 's/.*"coordinator": *"n\([0-2]\)".*/\1/p' | grep .
}

# applied_ms I: the wall-clock time at which daemon I had its last document in
# force.
applied_ms() {
	local at
	at=$(sed -n 's/^time=\([^ ]*\) .*event=document_in_force .*/\1/p' \
		"$WORK/n$1.log" | tail -n 1)
	echo $(($(date -u -d "${at}Z" +%s%N) / 1000000))
}

is_applied_since() { # is_applied_since WALL-MS I
	[ "$(applied_ms "$2")" -ge "$1" ]
}

wait_for 5 "coordinator" coordinator_index >/dev/null
coordinator=$(coordinator_index)
for i in 0 1 2; do
	set_store_relay $i "mode=silent&scope=existing"
done
# Time for the coordinator to notice its silent connections.
sleep 3
set_store_relay "$coordinator" mode=silent
start=$(wall_ms)
put_config "${config/\/p\//\/q\/}"
for i in 0 1 2; do
	[ "$i" = "$coordinator" ] && continue
	wait_for 20 "the change on n$i" is_applied_since "$start" $i
	took=$(($(applied_ms $i) - start))
	echo "n$i: $took ms" >&2
	[ "$took" -le 2000 ] && echo "in force within 2 s: yes"
done
