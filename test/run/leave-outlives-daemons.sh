# Guards against a target that is given requests again after a daemon has
# acknowledged its leave call, because the daemon that knew of it has ended: it
# was killed, stopped in order, or killed together with all others. The target
# goes on announcing itself. A run that is born later serves at once.
. test/run/lib-platform.sh

# leave BORN-MS: makes the leave call of target 2 and prints the status.
leave() {
	curl -s -o /dev/null -w '%{http_code}' -X POST -d \
		"{\"service\":\"desk\",\"born\":$1}" \
		"http://127.0.0.1:$((PORT + 21))/api/instances/i-2/deregister"
}
is_served() {
	[ "$(request_status 0 /p/x -X POST)" = 200 ]
}
runs() {
	grep -c '^run' "$WORK/s2.log"
}

start_platform_fleet
put_config "$config"
wait_for 10 "readiness" is_ready 2
for how in killed stopped all-killed; do
	wait_for 15 "a served request" is_served
	echo "served before"
	echo "leave call: $(leave "$(sed -n 's/^born //p' "$WORK/s2.log")")"
	case $how in
	killed)
		kill_processes n2
		start_daemon 2 desk
		;;
	stopped)
		send_signal n2 TERM
		wait_process_end n2 15
		start_daemon 2 desk
		;;
	all-killed)
		kill_processes n0 n1 n2
		for i in 0 1; do start_daemon $i cal; done
		start_daemon 2 desk
		;;
	esac
	before=$(runs)
	for i in 0 1 2; do
		wait_for 15 "readiness" is_ready $i
	done
	# Many announcements of the target, and requests to all nodes.
	for _ in $(seq 20); do
		for i in 0 1 2; do
			DEADLINE_MS=200 request_status $i /p/x -X POST >/dev/null
		done
		sleep 0.1
	done
	echo "requests after the leave call, $how: $(($(runs) - before))"
	kill_processes s2
	# The same id: a later start alone makes it another run.
	start_server 2 desk i-2
	wait_for 3 "a request at the next run" is_served
	echo "served after"
done
