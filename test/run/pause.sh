# Guards against a daemon that serves on an expired grant after a pause. Stops
# an owner's daemon by SIGSTOP for longer than its grant, then continues it.
# Requests that callers sent to the paused daemon itself are excused.
. test/lib.sh

start_fleet
victim=passau-1
[ "$victim" != "$(coordinator)" ] || victim=landshut-1
start_load 10
sleep 2
lost=$(now_ns)
send_signal "daemon-$victim" STOP
sleep 4
send_signal "daemon-$victim" CONT
print_verdict --lost "$victim=$lost" --excuse-to "127.0.0.1:$(http_port $victim)"
all_owned && echo "all shards have owners"
