# Guards against a change that stays unapplied because the control connections
# between nodes and coordinator went silent: datagrams still renew the grants,
# so that nothing else shows the fault.
. test/run/lib-proof.sh
add_proof_nodes
start_relay tcp
start_relay udp
start_proof_fleet

for node in "${node_names[@]}"; do
	set_relay "$node" "mode=silent&scope=existing"
done
term=$(status_value "s['term']")
edit_proof_document
wait_accepted() {
	status_value "s['doc_revision']" | grep -qx 2
}
wait_for 6 "the change at the coordinator" wait_accepted
# An accepted document is in force everywhere within 6 s.
wait_for 6 "the change on all nodes" edit_is_in_force
echo "in force everywhere within 6 s: yes"
[ "$(status_value "s['term']")" = "$term" ] &&
	echo "under the same coordinator: yes"
