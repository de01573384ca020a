# Guards against two owners of a key when the owner's daemon is frozen beyond its
# grant and continues with requests that waited in its sockets. Fails without the
# guard grant_check.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
start_proof_load 9
sleep 2
victim=$(find_owner)
freeze "daemon-$victim"
sleep 3
resume "daemon-$victim"
wait_proof_load_end
print_proof_verdict
print_served_share 80
