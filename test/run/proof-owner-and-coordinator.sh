# Guards against two owners of a key when an owner and the coordinator are frozen
# together, the store is down for a part of that time, and all return.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
start_proof_load 16
sleep 2
first=$(coordinator)
victim=$(find_owner)
freeze "daemon-$victim" "daemon-$first"
sleep 1
control_store "down?mode=refuse"
sleep 2
resume "daemon-$victim"
sleep 1
control_store "up"
resume "daemon-$first"
wait_proof_load_end
wait_owned 20
print_proof_verdict
print_served_share 40
