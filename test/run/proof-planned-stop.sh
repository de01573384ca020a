# Guards against planned stops that lose requests. A daemon, a target and the
# coordinator are stopped with long requests in flight; the coordinator gets
# SIGTERM twice. Every request must be answered. Fails without the guard release.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet --service-jitter-ms 700
# Callers send requests only to the three nodes that are not stopped.
first=$(coordinator)
mapfile -t stopped < <(printf '%s\n' "$first" "${node_names[@]}" |
	awk '!seen[$0]++' | head -n 3)
mapfile -t kept < <(printf '%s\n' "${node_names[@]}" "${stopped[@]}" |
	sort | uniq -u)
# shellcheck disable=SC2046
start_process load "$BIN/mpin-load" --name load $(load_address_options "${kept[@]}") \
	--services kiln:/kiln/:1 --rate 60 --seconds 14 --keys 400 \
	--post-share 0.6 --idempotency-key-share 0 --tenants 5 --seed 12 \
	--timeout-ms 6000 --history "$WORK/load.history" \
	--report "$WORK/report.txt"
sleep 2
send_signal "daemon-${stopped[0]}" TERM
sleep 0.3
send_signal "daemon-${stopped[0]}" TERM
wait_process_end "daemon-${stopped[0]}" 15
echo "coordinator's exit status: $?"
send_signal "daemon-${stopped[1]}" TERM
wait_process_end "daemon-${stopped[1]}" 15
echo "daemon's exit status: $?"
send_signal "target-${stopped[2]}" TERM
wait_process_end "target-${stopped[2]}" 15
echo "target's exit status: $?"
wait_process_end load 60 || fail "load generator"
print_proof_verdict
print_served_share 100
