# Guards against keys that stay unserved or are served by two nodes, and against
# a new owner that starts requests while one of the dead node still runs. Kills
# an owner's daemon and target under load.
. test/lib.sh

start_fleet
victim=passau-1
[ "$victim" != "$(coordinator)" ] || victim=landshut-1
[ "$(count_slots $victim)" -gt 0 ] || fail "$victim owns nothing"
start_load 8
sleep 2
lost=$(now_ns)
kill_processes "daemon-$victim" "target-$victim"
dead=$(now_ns_rounded_up)
print_verdict --lost "$victim=$lost" --killed "$victim=$dead"
all_owned && echo "all shards have owners"
