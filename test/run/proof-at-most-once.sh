# Guards against a request that is not idempotent and runs more than once. Owners
# are killed during requests, connections go silent for good, the store fails,
# and keys move.
. test/run/lib-proof.sh
add_proof_nodes
start_relay
start_proof_fleet --service-jitter-ms 150
start_proof_load 16 --post-share 1
sleep 2
victim=$(find_owner)
kill_processes "daemon-$victim" "target-$victim"
dead=$(now_ns_rounded_up)
sleep 2
start_daemon "$victim"
start_target "$victim" --concurrency 20 --connections 60 --service-ms 5
other=$(find_owner)
set_relay "$other" "mode=silent&scope=existing"
sleep 2
control_store "down?mode=refuse"
sleep 1
control_store "up"
moved=$(find_owner)
ctl drain "$moved" >&2
sleep 2
ctl undrain "$moved" >&2
wait_proof_load_end
print_proof_verdict --killed "$victim=$dead"
print_served_share 70
