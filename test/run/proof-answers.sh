# Guards against a caller that gets a truncated answer as complete, or the answer
# to another request. Targets truncate answers, send answers without framing or
# slowly, or never answer; links delay; callers give up early, so that late
# answers arrive on connections that are used again. Fails without the guard
# framing.
. test/run/lib-proof.sh
add_proof_nodes
start_relay
start_proof_fleet
apply_proof_document 800
start_proof_load 10 --fault cut:0.05 --fault unframed:0.05 --fault unframed-cut:0.05 \
	--fault hang:0.02 --fault slow-body:0.05 --answer-bytes 2000
sleep 3
for node in n1 n2 n3; do
	set_relay "$node" "mode=delay&ms=300"
done
sleep 3
for node in n1 n2 n3; do
	set_relay "$node" "mode=pass"
done
wait_proof_load_end
print_proof_verdict
print_served_share 60
