# Guards against a takeover of the coordinator role that interrupts the other
# nodes' grants or lets two nodes serve a key. Kills the coordinator's daemon and
# target under load.
. test/lib.sh

start_fleet
victim=$(coordinator)
start_load 8
sleep 2
lost=$(now_ns)
kill_processes "daemon-$victim" "target-$victim"
dead=$(now_ns_rounded_up)
print_verdict --lost "$victim=$lost" --killed "$victim=$dead"
all_owned && echo "all shards have owners"
[ "$(coordinator)" != "$victim" ] && echo "another coordinator"
