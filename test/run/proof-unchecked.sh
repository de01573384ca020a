# Guards against two owners of a key when the targets check neither fence,
# deadline nor sender of a request, as far as this is guaranteed for such targets
# (see docs/proofs.md). An owner's daemon is frozen and continued, and another
# owner is killed.
. test/run/lib-proof.sh
add_proof_nodes
start_store
start_nodes --concurrency 20 --connections 60 --service-ms 5
wait_announced
apply_proof_document
wait_owned 30
start_proof_load 12
sleep 2
victim=$(find_owner)
freeze "daemon-$victim"
sleep 3
resume "daemon-$victim"
sleep 1
killed=$(find_owner)
kill_processes "daemon-$killed" "target-$killed"
dead=$(now_ns_rounded_up)
wait_proof_load_end
print_proof_verdict --killed "$killed=$dead"
print_served_share 70
