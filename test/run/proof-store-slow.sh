# Guards against two owners of a key, and against nodes that stop serving, while
# the store is slow. An owner is killed while each store call takes 300 ms;
# another is frozen and continued while each takes 900 ms, which is so long that
# the coordinator enters a hold.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
start_proof_load 18
sleep 2
control_store "slow?ms=300"
sleep 1
killed=$(find_owner)
kill_processes "daemon-$killed" "target-$killed"
dead=$(now_ns_rounded_up)
sleep 4
frozen=$(find_owner)
control_store "slow?ms=900"
sleep 1
freeze "daemon-$frozen"
sleep 3
resume "daemon-$frozen"
sleep 1
control_store "slow?ms=0"
wait_proof_load_end
wait_owned 20 5
print_proof_verdict --killed "$killed=$dead"
print_served_share 80
