# Guards against a drained target that gets new requests after more than 3 s,
# also from a daemon that was frozen with an old map and rejoins.
. test/run/lib-proof.sh
add_proof_nodes
# Long requests for few keys: without the guard release, a slot would move
# while one of its requests runs.
start_proof_fleet --service-jitter-ms 400
start_proof_load 14 --keys 40 --skew 0.2
sleep 2
stale=$(status_value "[n['name'] for n in s['nodes']
	if n['name'] != s['coordinator']][-1]")
leaving=$(status_value "[n['name'] for n in s['nodes']
	if n['name'] not in (s['coordinator'], '$stale')][0]")
freeze "daemon-$stale"
drained=$(now_ns)
ctl drain "$leaving" >&2
sleep 3
resume "daemon-$stale"
wait_proof_load_end
print_proof_verdict --drained "$leaving=$drained"
print_served_share 80
