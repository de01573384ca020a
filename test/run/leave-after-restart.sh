# Guards against a target that is given requests again although a daemon has
# acknowledged its leave call: the daemon had just been started and knew no
# announcement of the target yet, and one that was sent before the call came
# after it.
. test/run/lib-platform.sh

start_platform_fleet
put_config "$config"
wait_for 10 "readiness" is_ready 2
is_served() {
	[ "$(request_status 0 /p/x -X POST)" = 200 ]
}
wait_for 10 "a served request" is_served
echo "served before"

send_signal s2 STOP
kill_processes n2
start_daemon 2 desk
wait_for 10 "the daemon" is_ready 2
echo "leave call: $(curl -s -o /dev/null -w '%{http_code}' -X POST \
	"http://127.0.0.1:$((PORT + 21))/api/instances/i-2/deregister")"
runs=$(grep -c '^run' "$WORK/s2.log")
send_signal s2 CONT
# Several announcements.
sleep 1
for i in 0 1 2; do
	request_status $i /p/x -X POST >/dev/null
done
echo "requests after the leave call: $(($(grep -c '^run' "$WORK/s2.log") - runs))"

# Another run of the target serves again.
kill_processes s2
start_server 2 desk i-2b
wait_for 10 "a served request" is_served
echo "served after"
