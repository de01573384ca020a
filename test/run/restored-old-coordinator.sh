# Guards against a coordinator that was paused while another one was elected,
# and that takes itself for the one in office because the store came back from a
# copy with its record: its targets would hold keys that were moved since.
. test/run/lib-platform.sh
. test/run/lib-restore.sh

announce_ms=1s
hold_max_ms=6s
start_keyed_fleet
copy_store
old=$(coordinator_index) || fail "no coordinator"
other=$(seq 0 4 | grep -vx "$old" | head -n 1)
send_signal "n$old" STOP
wait_for 20 "another coordinator" grep -q event=coordinator_elected \
	$(printf "$WORK/n%s.log " $(seq 0 4 | grep -vx "$old"))
wait_for 25 "all keys" all_keys_served "$other"
wait_for 15 "the end of the moves" map_is_settled
new=$(coordinator_index) || fail "no coordinator"
kill_processes "n$new"
restore_store op/
send_signal "n$old" CONT
sleep 8
grep -q 'event=state_written_again term=1 ' "$WORK/n$old.log" ||
	echo "the old coordinator wrote nothing"
python3 test/run/held-keys.py "$WORK"/s[0123].log
