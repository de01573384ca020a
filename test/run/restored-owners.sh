# Guards against keys that two targets hold, fences that go back, and ids that are
# given to two nodes, after the store was restored from a copy that is older than
# moves of keys, and the coordinator and most daemons, which know better, were
# lost.
. test/run/lib-platform.sh
. test/run/lib-restore.sh

start_keyed_fleet
copy_store
add_keyed_node 5
send_signal s1 USR1
wait_for 15 "the drain of i-1" grep -q '^holds at=[0-9]*$' "$WORK/s1.log"
wait_for 15 "the end of the moves" map_is_settled
first=$(coordinator_index) || fail "no coordinator"
restore_store op/
sleep 1
# Four of six daemons, with the coordinator; their targets go on.
victims="$first $(seq 0 5 | grep -vx "$first" | head -n 3)"
echo "killed: $victims" >&2
for i in $victims; do
	send_signal "n$i" KILL
done
# A node that the coordinators have not seen yet.
start_daemon 6 cal
start_server 6 cal i-6
for i in $victims; do
	kill_processes "n$i"
	[ "$i" = 4 ] && start_daemon 4 desk || start_daemon "$i" cal
done
echo "served again within 15 s: $(within 15 all_keys_served 5)"
sleep 4
python3 test/run/held-keys.py "$WORK"/s[012356].log
echo "ids given to two nodes: $(count_shared_ids)"
