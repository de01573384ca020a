# Guards against nodes that a coordinator heard throughout its recovery from a
# copy and declares lost at the end of it, and against two holders of a key.
. test/run/lib-platform.sh
. test/run/lib-restore.sh

start_keyed_fleet
copy_store
add_keyed_node 5
first=$(coordinator_index) || fail "no coordinator"
other=$(seq 0 4 | grep -vx "$first" | head -n 1)
kill_processes "n$first"
restore_store op/
echo "served again within 15 s: $(within 15 all_keys_served "$other")"
sleep 3
echo "nodes lost: $(cat "$WORK"/n*.log | grep -c 'event=node_lost')"
python3 test/run/held-keys.py "$WORK"/s[01235].log
