# Guards against planned stops that lose or refuse requests, and against requests
# that reach a node after its drain. Drains a node under load, stops its daemon
# and target, then stops another target without a drain.
. test/lib.sh

start_fleet
start_load 12
sleep 2
drained=$(now_ns)
ctl drain landshut-1 >"$WORK/drain.log" || fail "drain"
[ "$(count_slots landshut-1)" = 0 ] && echo "drained node owns nothing"
sleep 1
send_signal daemon-landshut-1 TERM
wait_process_end daemon-landshut-1 10
echo "daemon: exit status $?"
send_signal target-landshut-1 TERM
wait_process_end target-landshut-1 10
echo "target: exit status $?"
leaves=$(now_ns)
send_signal target-bamberg-2 TERM
wait_process_end target-bamberg-2 10
echo "target: exit status $?"
print_verdict --drained "landshut-1=$drained" --drained "bamberg-2=$leaves"
print_outcomes
