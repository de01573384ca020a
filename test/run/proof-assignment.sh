# Guards against the loss of an assignment that was acknowledged. The coordinator
# is killed right after the acknowledgement, the answer to a store write is lost,
# the store is down for a time, and every daemon is restarted, one after another.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
map_revision() {
	status_value "s['map_revision']"
}
start_proof_load 40
before=$(map_revision)
first=$(coordinator)
ctl drain n1 >&2
kill_processes "daemon-$first"
start_daemon "$first"
wait_owned 20 5
[ "$(status_value "[n['slots'] for n in s['nodes'] if n['name'] == 'n1'][0]")" \
	= 0 ] && echo "drain survives the coordinator: yes"
control_store "lose-answers?count=2"
ctl undrain n1 >&2
wait_owned 20 6
control_store "down?mode=silent"
sleep 2
control_store "up"
for node in "${node_names[@]}"; do
	kill_processes "daemon-$node"
	start_daemon "$node"
	sleep 2
done
wait_owned 30 6
after=$(map_revision)
[ "$after" -gt "$before" ] && echo "map revision grows: yes"
[ "$(status_value "s['doc_revision']")" = 3 ] && echo "document: revision 3"
wait_proof_load_end
print_proof_verdict
