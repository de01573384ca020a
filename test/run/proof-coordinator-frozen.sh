# Guards against two owners of a key when the coordinator's daemon is frozen
# beyond its term, another node takes over, and the first one continues.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
start_proof_load 10
sleep 2
first=$(coordinator)
freeze "daemon-$first"
sleep 3
resume "daemon-$first"
sleep 2
[ "$(coordinator)" != "$first" ] && echo "another coordinator: yes"
wait_proof_load_end
print_proof_verdict
print_served_share 80
