# Guards against two owners of a key, and against nodes that stop serving, while
# the store is silent for longer than any grant. During the outage, an owner's
# daemon is frozen and continued and another owner is killed, whose keys are
# served again when the store returns.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
start_proof_load 16
sleep 2
frozen=$(find_owner)
control_store "down?mode=silent"
sleep 3
freeze "daemon-$frozen"
sleep 2
resume "daemon-$frozen"
killed=$(status_value "[n['name'] for n in s['nodes'] if n['slots'] and
	n['name'] not in ('$frozen', s['coordinator'])][0]" || true)
[ -n "$killed" ] || killed=$(printf '%s\n' "${node_names[@]}" |
	grep -vx "$frozen" | tail -n 1)
kill_processes "daemon-$killed" "target-$killed"
dead=$(now_ns_rounded_up)
sleep 2
control_store "up"
wait_proof_load_end
ctl forget "$killed" >&2
wait_owned 20 5
print_proof_verdict --killed "$killed=$dead"
print_served_share 60
