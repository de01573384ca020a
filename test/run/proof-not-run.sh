# Guards against a caller that gets the outcome not-run for a request that ran.
# Gates are overloaded and targets refuse requests, and connections are cut
# before, during and after the hand-over of requests.
. test/run/lib-proof.sh
PROOF_RATE=600
add_proof_nodes 3
start_relay
start_store
start_nodes --concurrency 2 --connections 8 --queue 2 --service-ms 20 \
	--checks fence,deadline
wait_announced
apply_proof_document 1000
wait_owned 30
start_proof_load 9
for round in 1 2 3; do
	sleep 1
	set_relay n1 "mode=reset"
	sleep 0.5
	set_relay n1 "mode=pass"
	curl -s -X POST "http://127.0.0.1:$((PORT + 150))/cut?listen=$((PORT + \
		101))&after_bytes=$((round * 700))&direction=in" >&2
done
wait_proof_load_end
print_proof_verdict
grep -q 'not-run [1-9]' "$WORK/verdict.txt" && echo "some were not run: yes"
