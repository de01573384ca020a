# Guards against forced moves of slots when a daemon restarts within the
# restart_grace_ms of its service. Restarts one daemon by SIGHUP and another
# after a kill.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
sed 's/"auto_pins": 0,/"auto_pins": 0, "restart_grace_ms": 8000,/' \
	"$WORK/document.json" >"$WORK/grace.json"
ctl apply "$WORK/grace.json" >&2
start_proof_load 14
sleep 2
count_forced_moves() {
	status_value "sum(v['moves'] - v['moves_by_cause']['imbalance']
		for v in s['services'])"
}
before=$(count_forced_moves)
mapfile -t others < <(status_value "'\n'.join(n['name'] for n in s['nodes']
	if n['name'] != s['coordinator'])")
send_signal "daemon-${others[0]}" HUP
wait_process_end "daemon-${others[0]}" 10
echo "exit status after SIGHUP: $?"
start_daemon "${others[0]}"
sleep 2
kill_processes "daemon-${others[1]}"
sleep 2
start_daemon "${others[1]}"
wait_proof_load_end
wait_owned 20
[ "$(count_forced_moves)" = "$before" ] && echo "forced moves: none"
print_proof_verdict
print_served_share 80
