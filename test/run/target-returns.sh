# Guards against a target without an id that is taken for leaving for good after
# its leave call, although it has ended and another run of it announces itself.
. test/run/lib-proof.sh
add_proof_nodes 2
start_proof_fleet
send_signal target-n1 TERM
wait_process_end target-n1 15
echo "left: exit status $?"
target_is_gone() {
	[ "$(status_value "sum(n['service'] != '' for n in s['nodes'])")" = 1 ]
}
wait_for 10 "one target" target_is_gone
start_target n1 --concurrency 20 --connections 60 --service-ms 5 \
	--checks fence,deadline,sender
wait_for 10 "the target again" all_announced
echo "announced again"
owns_slots() {
	[ "$(count_slots n1)" -gt 0 ]
}
wait_for 20 "slots" owns_slots
echo "owns slots again"
