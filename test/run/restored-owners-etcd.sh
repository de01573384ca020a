# Guards against two owners of a key, fences that go back, and ids that are given
# to two nodes, after the store of the project's own interface was restored from
# a copy that is older than moves of slots, and the coordinator and most daemons
# were lost.
. test/run/lib-proof.sh
. test/run/lib-restore.sh
add_proof_nodes
start_proof_fleet
start_proof_load 30
sleep 1
copy_store
# The slots of a node that stops move to others, and others move to it when it
# is back.
mover=$(find_owner)
send_signal "daemon-$mover" TERM
wait_process_end "daemon-$mover" 15 || fail "stop of $mover"
wait_owned 20
start_daemon "$mover"
gets_slots() {
	[ "$(count_slots "$mover")" -gt 0 ]
}
wait_for 20 "slots of $mover" gets_slots
sleep 1
first=$(coordinator)
restore_store
sleep 1
victims="$first $(printf '%s\n' "${node_names[@]}" | grep -vx "$first" |
	head -n 3)"
echo "killed: $victims" >&2
for node in $victims; do
	send_signal "daemon-$node" KILL
done
# A node that the coordinators have not seen yet.
add_node n7 r0 dc7 rack7 kiln
start_daemon n7
start_target n7 --concurrency 20 --connections 60 --service-ms 5 \
	--checks fence,deadline,sender
for node in $victims; do
	kill_processes "daemon-$node"
	start_daemon "$node"
done
requests_are_served() { # true if each node answers requests for 16 keys
	local node key
	for node in "${node_names[@]}"; do
		for key in $(seq 16); do
			curl -sf -m 2 -o /dev/null "http://127.0.0.1:$(http_port \
				"$node")/kiln/again-$key" || return 1
		done
	done
}
echo "served again within 15 s: $(within 15 requests_are_served)"
wait_proof_load_end
echo "ids given to two nodes: $(count_shared_ids)"
print_proof_verdict --wait-ms 600000
grep -E '^VIOLATION' "$WORK/verdict.txt" | cut -d' ' -f2 | sort | uniq -c >&2
