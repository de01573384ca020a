# Guards against a fleet that finds no coordinator, or targets that hold the same
# keys, after the store was restored from a copy that is older than the first
# coordinator, and the coordinator was lost.
. test/run/lib-platform.sh
. test/run/lib-restore.sh

announce_ms=1s
hold_max_ms=6s
start_process kv "$BIN/mpin-kvstore" "$KV"
wait_listening kv "$KV"
copy_store
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
first=$(coordinator_index) || fail "no coordinator"
other=$(seq 0 4 | grep -vx "$first" | head -n 1)
before=$(cat "$WORK"/n*.log | grep -c 'event=coordinator_elected')
kill_processes "n$first"
restore_store op/
echo "served again within 15 s: $(within 15 all_keys_served "$other")"
after=$(cat "$WORK"/n*.log | grep -c 'event=coordinator_elected')
echo "elections: $((after - before))" >&2
[ $((after - before)) -le 2 ] && echo "two elections at most"
python3 test/run/held-keys.py "$WORK"/s[0123].log
