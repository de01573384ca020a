# Functions for the runs with the platform's interface, against stand-ins of its
# store and of its targets. Sourced by bash; sources test/lib.sh.
# shellcheck shell=bash

. test/lib.sh

KV=$PORT
config='{"version":"0000000c","routes":{"columns":["name","host","pathPrefix",
"kind","timeout","targetLatency","priority","service","maxAttempts",
"weightedClusters"],"rows":[["keyed","a.example","/k/","idempotent","2000ms",
"1000ms",1,"cal",2,null],["plain","a.example","/p/","non_idempotent","2000ms",
"500ms",1,null,2,[{"service":"desk","weight":1}]]]},"services":{"columns":
["name","sharded","warm"],"rows":[["cal",true,"2s"],["desk",false,null]]},
"limits":{"maxHeaderBytes":16384}}'

# start_daemon I SERVICE: daemon_settings, if set, is added to the settings;
# announce_ms and hold_max_ms replace the default times, data_centre the default
# one; target_settings are added to those of the target. The daemon reaches the
# store through the port store_port, if set.
start_daemon() {
	local base=$((PORT + 1 + 8 * $1))
	cat >"$WORK/n$1.toml" <<-TOML
		[node]
		name = "n$1"
		region = "r"
		data_centre = "${data_centre:-z}"
		service = "$2"
		interface = "platform"
		[listen]
		address = "127.0.0.1"
		http_port = "127.0.0.1:$base"
		peer_port = $((base + 1))
		admin_port = $((base + 2))
		ready_port = "127.0.0.1:$((base + 3))"
		control_port = "127.0.0.1:$((base + 4))"
		[store]
		endpoint = "http://127.0.0.1:${store_port:-$KV}"
		[target]
		announce_ms = "${announce_ms:-200ms}"
		hold_max_ms = "${hold_max_ms:-2s}"
		adapt_concurrency = false
		${target_settings:-}
		[limits]
		stale_ms = 0
		${daemon_settings:-}
	TOML
	start_process "n$1" "$BIN/mpind" --config "$WORK/n$1.toml"
}

start_server() { # start_server I SERVICE ID [OPTION...]
	local i=$1 service=$2 id=$3
	local base=$((PORT + 1 + 8 * i))
	shift 3
	# A log of its own for each process: what an ended one held is over.
	[ -e "$WORK/s$i.log" ] && mv "$WORK/s$i.log" "$WORK/s$i-before-$id.log"
	start_process "s$i" "$BIN/mpin-server" --port $((base + 5)) \
		--control $((base + 4)) --id "$id" --service "$service" "$@"
}

# start_platform_fleet: starts the store, two nodes with targets of the keyed
# service and one of the other. There is no configuration yet.
start_platform_fleet() {
	local i service
	start_process kv "$BIN/mpin-kvstore" "$KV"
	wait_listening kv "$KV"
	for i in 0 1 2; do
		[ "$i" = 2 ] && service=desk || service=cal
		start_daemon "$i" $service
		start_server "$i" $service "i-$i"
	done
}

# request_status I PATH [CURL-OPTION...]: sends a request to daemon I and prints
# its status. The caller waits for DEADLINE_MS, by default 2000.
request_status() {
	local port=$((PORT + 1 + 8 * $1)) path=$2
	shift 2
	curl -s -o /dev/null -m $((1 + ${DEADLINE_MS:-2000} / 1000)) \
		-w '%{http_code}' -H 'Host: a.example' \
		-H 'X-Attempt-Id: 0123456789abcdef' \
		-H "X-Deadline-Remaining: ${DEADLINE_MS:-2000}" "$@" \
		"http://127.0.0.1:$port$path"
}

is_ready() { # is_ready I
	[ "$(curl -s -o /dev/null -m 1 -w '%{http_code}' \
		"http://127.0.0.1:$((PORT + 4 + 8 * $1))/api/ready")" = 200 ]
}

# all_keys_served I: true if daemon I answers requests for sixteen keys over the
# whole range.
all_keys_served() {
	local key
	for key in $(seq 0 4096 65535); do
		[ "$(request_status "$1" /k/x -H "X-Shard-Key: $key")" = 200 ] ||
			return 1
	done
}

map_changes() {
	cat "$WORK"/n*.log | grep -c 'event=map_changed'
}

map_is_settled() { # true if the map does not change for two seconds
	local before
	before=$(map_changes)
	sleep 2
	[ "$(map_changes)" = "$before" ]
}

# put_config TEXT: writes the operators' configuration, numbered one higher than
# the one before it
put_config() {
	local version=12
	[ -e "$WORK/config-version" ] && version=$(<"$WORK/config-version")
	echo $((version + 1)) >"$WORK/config-version"
	printf '%s' "${1/0000000c/$(printf %08x "$version")}" | curl -s -o /dev/null --data-binary @- \
		"http://127.0.0.1:$KV/control/put?key=op/config"
}

# start_relayed_fleet: the same fleet; each daemon reaches the store through a
# relay, and the keyed service is served. The caller may set announce_ms.
start_relayed_fleet() {
	local i service
	start_process kv "$BIN/mpin-kvstore" "$KV"
	wait_listening kv "$KV"
	start_process relay "$BIN/mpin-relay" --control $((PORT + 150)) \
		--forward "$((PORT + 160)):127.0.0.1:$KV" \
		--forward "$((PORT + 161)):127.0.0.1:$KV" \
		--forward "$((PORT + 162)):127.0.0.1:$KV"
	wait_for 10 "relay" is_listening $((PORT + 150))
	for i in 0 1 2; do
		[ "$i" = 2 ] && service=desk || service=cal
		store_port=$((PORT + 160 + i)) start_daemon "$i" $service
		start_server "$i" $service "i-$i"
	done
	put_config "$config"
	wait_for 10 "readiness" is_ready 0
	wait_for 15 "all keys" all_keys_served 0
	wait_for 5 "coordinator" coordinator_index >/dev/null
}

set_store_relay() { # set_store_relay I QUERY: sets daemon I's way to the store
	curl -sf -X POST "http://127.0.0.1:$((PORT + 150))/set?listen=$((
		PORT + 160 + $1))&$2" >/dev/null || fail "relay command $2"
}

silence_open_store_connections() {
	local i
	for i in 0 1 2; do
		set_store_relay $i "mode=silent&scope=existing"
	done
}

coordinator_index() { # prints I of the coordinator
	"$BIN/mpinctl" --interface platform --store "http://127.0.0.1:$KV" \
		--json status 2>/dev/null |
		sed -n 's/.*"coordinator": *"n\([0-9]*\)".*/\1/p' | grep .
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

# put_config_in_time TEXT [I]: writes the configuration and prints a line for each
# daemon but daemon I that has it in force within 2 s.
put_config_in_time() {
	local i start took
	start=$(wall_ms)
	put_config "$1"
	for i in 0 1 2; do
		[ "$i" = "${2:-}" ] && continue
		wait_for 20 "the change on n$i" is_applied_since "$start" $i
		took=$(($(applied_ms $i) - start))
		echo "n$i: $took ms" >&2
		[ "$took" -le 2000 ] && echo "in force within 2 s: yes"
	done
}
