# Functions for the runs in which the store comes back from a copy. Sourced by
# bash after test/lib.sh. Both store stand-ins listen at PORT.
# shellcheck shell=bash

copy_store() {
	curl -sf -X POST "http://127.0.0.1:$PORT/control/copy" >/dev/null ||
		fail "copy of the store"
}

restore_store() { # restore_store [PREFIX]: PREFIX is written again afterwards
	curl -sf -X POST \
		"http://127.0.0.1:$PORT/control/restore${1:+?keep=$1}" \
		>/dev/null || fail "restore of the store"
}

# save_store_state STORE NAME: STORE is platform or etcd.
save_store_state() {
	python3 test/run/store-state.py "$1" "$PORT" >"$WORK/$2.state"
}

# is_store_complete STORE: true if the store has all that it had when the state
# "before" was saved.
is_store_complete() {
	save_store_state "$1" after || return 1
	python3 test/run/store-state.py compare "$WORK/before.state" \
		"$WORK/after.state" >"$WORK/missing.txt" 2>&1
	[ ! -s "$WORK/missing.txt" ]
}

# Prints the number of ids that coordinators gave to nodes of different names.
count_shared_ids() {
	cat "$WORK"/*.log | sed -n \
		's/.*event=node_joined name=\([^ ]*\) id=\([0-9]*\) .*/\2 \1/p' |
		sort -u | cut -d' ' -f1 | uniq -d | wc -l
}

# within SECONDS COMMAND...: waits until the command succeeds and prints "yes";
# prints "no" after the seconds.
within() {
	local end=$(($(wall_ms) + $1 * 1000))
	shift
	until "$@"; do
		if [ "$(wall_ms)" -ge "$end" ]; then
			echo no
			return
		fi
		sleep 0.05
	done
	echo yes
}

# start_keyed_fleet: starts the platform's store, four nodes with targets of
# the keyed service and one of the other, and waits until all is served.
start_keyed_fleet() {
	local i
	start_process kv "$BIN/mpin-kvstore" "$KV"
	wait_listening kv "$KV"
	for i in 0 1 2 3; do
		start_daemon "$i" cal
		start_server "$i" cal "i-$i"
	done
	start_daemon 4 desk
	start_server 4 desk i-4
	put_config "$config"
	for i in 0 1 2 3 4; do
		wait_for 10 "readiness of n$i" is_ready $i
	done
	wait_for 15 "all keys" all_keys_served 4
	wait_for 15 "the end of the moves" map_is_settled
}

# add_keyed_node I: starts a further node and waits until it has got its keys.
add_keyed_node() {
	start_daemon "$1" cal
	start_server "$1" cal "i-$1"
	wait_for 15 "keys of i-$1" grep -q '^holds at=[0-9]* [0-9]' \
		"$WORK/s$1.log"
	wait_for 15 "the end of the moves" map_is_settled
}
