# Guards against a fleet that stays in a hold, without changes of the document
# or of owners, because the coordinator and both standbys are cut off from the
# store, although it answers another node.
. test/run/lib-proof.sh

# The standbys are the nodes of the other data centre.
for node in n1 n2 n3 n4; do
	[[ $node = n[12] ]] && dc=dc1 || dc=dc2
	add_node "$node" r1 "$dc" "rack-$node" kiln \
		"http://127.0.0.1:$((PORT + 160 + ${node#n}))"
done
start_store
forwards=()
for node in "${node_names[@]}"; do
	forwards+=(--forward "$((PORT + 160 + ${node#n})):127.0.0.1:$PORT")
done
start_process relay "$BIN/mpin-relay" --control $((PORT + 150)) "${forwards[@]}"
wait_for 10 "relay" is_listening $((PORT + 150))
start_nodes --concurrency 20 --connections 60 --service-ms 5 \
	--checks fence,deadline,sender
wait_announced
apply_proof_document
wait_owned 30

coordinator=$(coordinator)
case $coordinator in
n1) other=n2 ;;
n2) other=n1 ;;
n3) other=n4 ;;
n4) other=n3 ;;
esac
for node in "${node_names[@]}"; do
	[ "$node" = "$other" ] && continue
	curl -sf -X POST "http://127.0.0.1:$((PORT + 150))/set?listen=$((
		PORT + 160 + ${node#n}))&mode=silent" >/dev/null
done
is_replaced() {
	[ "$(coordinator)" = "$other" ]
}
wait_for 10 "another coordinator" is_replaced
echo "the node that reaches the store takes office"
edit_proof_document
wait_for 6 "the change on all nodes" edit_is_in_force
echo "in force everywhere within 6 s: yes"
