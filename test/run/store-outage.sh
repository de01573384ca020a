# Guards against owners that stop serving without the store. The store does not
# answer for six seconds under load.
. test/lib.sh

start_fleet
start_load 12
sleep 2
send_signal store STOP
sleep 6
send_signal store CONT
print_verdict
print_outcomes
wait_owned 10
echo "all shards have owners"
