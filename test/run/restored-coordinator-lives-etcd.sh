# Guards against a coordinator that gives up its term, or leaves the store of the
# project's own interface without what it has acknowledged, because that was
# restored from a copy, and against a node lost later that is not replaced.
. test/run/lib-proof.sh
. test/run/lib-restore.sh
add_proof_nodes
start_proof_fleet
copy_store
mover=$(find_owner)
send_signal "daemon-$mover" TERM
wait_process_end "daemon-$mover" 15 || fail "stop of $mover"
wait_owned 20
start_daemon "$mover"
gets_slots() {
	[ "$(count_slots "$mover")" -gt 0 ]
}
wait_for 20 "slots of $mover" gets_slots
sleep 2
save_store_state etcd before
first=$(coordinator)
elections=$(cat "$WORK"/daemon-*.log | grep -c 'event=coordinator_elected')
restore_store
echo "complete in the store within 2 s: $(within 2 is_store_complete etcd)"
cat "$WORK/missing.txt" >&2
sleep 2
[ "$(cat "$WORK"/daemon-*.log | grep -c 'event=coordinator_elected')" = \
	"$elections" ] && echo "no election"
[ "$(coordinator)" = "$first" ] && echo "the same coordinator"
victim=$(find_owner)
kill_processes "daemon-$victim" "target-$victim"
is_replaced() {
	[ "$(count_slots "$victim")" = 0 ] && all_owned
}
echo "replaced within 8 s: $(within 8 is_replaced)"
[ "$(coordinator)" = "$first" ] && echo "the same coordinator"
