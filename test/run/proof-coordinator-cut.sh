# Guards against two owners of a key when the coordinator loses its connections
# to all nodes but still reaches the store: first in both directions, then in one
# (its answers are lost).
. test/run/lib-proof.sh
add_proof_nodes
start_relay
start_proof_fleet
start_proof_load 16
sleep 2
for direction in both out; do
	cut=$(coordinator)
	set_relay "$cut" "mode=drop&direction=$direction"
	sleep 3
	set_relay "$cut" "mode=pass&direction=$direction"
	sleep 3
done
wait_proof_load_end
wait_owned 20
print_proof_verdict
print_served_share 50
