# Guards against a coordinator that gives up its term, or leaves the store
# without what it has acknowledged, because the store was restored from a copy,
# and against a node lost later that is not replaced.
. test/run/lib-platform.sh
. test/run/lib-restore.sh

start_keyed_fleet
copy_store
add_keyed_node 5
save_store_state platform before
first=$(coordinator_index) || fail "no coordinator"
elections=$(cat "$WORK"/n*.log | grep -c 'event=coordinator_elected')
restore_store op/
echo "complete in the store within 2 s: $(within 2 is_store_complete platform)"
cat "$WORK/missing.txt" >&2
sleep 2
[ "$(cat "$WORK"/n*.log | grep -c 'event=coordinator_elected')" = \
	"$elections" ] && echo "no election"
[ "$(coordinator_index)" = "$first" ] && echo "the same coordinator"
victim=$(seq 0 3 | grep -vx "$first" | head -n 1)
kill_processes "n$victim" "s$victim"
echo "served after a loss within 8 s: $(within 8 all_keys_served 4)"
[ "$(coordinator_index)" = "$first" ] && echo "the same coordinator"
