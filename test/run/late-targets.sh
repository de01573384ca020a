# Guards against a first target that gets all slots and keeps most of them. The
# document is applied before the targets, which start one after another.
. test/run/lib-proof.sh
add_proof_nodes
start_store
for node in "${node_names[@]}"; do
	start_daemon "$node"
done
apply_proof_document
for node in "${node_names[@]}"; do
	start_target "$node" --concurrency 20 --connections 60 --service-ms 5
	sleep 0.3
done
wait_owned 30
status_value "'slots of a node: %d to %d' % (
	min(n['slots'] for n in s['nodes']), max(n['slots'] for n in s['nodes']))"
