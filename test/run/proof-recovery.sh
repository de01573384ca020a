# Guards against a key that is served again later than 2 s after a loss. Kills
# the daemon and target of one node after another; every second one is the
# coordinator.
. test/run/lib-proof.sh
PROOF_RATE=300
add_proof_nodes 8
start_proof_fleet
# Few keys, so that each is requested several times a second.
start_proof_load 24 --keys 60 --skew 0.2
sleep 2
args=()
for round in 1 2 3 4; do
	if [ $((round % 2)) = 0 ]; then
		victim=$(coordinator)
	else
		victim=$(find_owner)
	fi
	lost=$(now_ns)
	kill_processes "daemon-$victim" "target-$victim"
	args+=(--lost "$victim=$lost" --killed "$victim=$(now_ns_rounded_up)")
	sleep 4
done
wait_proof_load_end
print_proof_verdict "${args[@]}"
print_served_share 70
