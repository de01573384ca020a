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
sed 's/"deadline_ms": [0-9]*/"deadline_ms": 3003/' \
	"$WORK/document.json" >"$WORK/edit.json"
timeout 30 "$BIN/mpinctl" --store "$STORE" apply "$WORK/edit.json" \
	>"$WORK/apply.log" 2>&1 &
wait_accepted() {
	status_value "s['doc_revision']" | grep -qx 2
}
wait_for 6 "the change at the coordinator" wait_accepted
in_force_everywhere() {
	for node in "${node_names[@]}"; do
		grep -q "event=document_in_force revision=2 " \
			"$WORK/daemon-$node.log" || return 1
	done
}
# An accepted document is in force everywhere within 6 s.
wait_for 6 "the change on all nodes" in_force_everywhere
echo "in force everywhere within 6 s: yes"
[ "$(status_value "s['term']")" = "$term" ] &&
	echo "under the same coordinator: yes"
