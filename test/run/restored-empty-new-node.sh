# Guards against two nodes that serve a key after the store came back empty: a
# daemon that has seen no term finds no record, and must not take the fleet for a
# new one.
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
restore_store op/
start_daemon 5 cal
start_server 5 cal i-5
sleep 12
python3 test/run/held-keys.py "$WORK"/s[01235].log
