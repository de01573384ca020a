# Guards against requests that reach a target more than 5 s after operators
# ordered that its data centre be emptied, when the coordinator is lost right
# after the order or a daemon there starts while it is in force; against callers
# there that are not served; and against targets that stay unused afterwards.
# Two services with a target in each of three data centres, under load.
target_settings='empty_ms = "5s"'
. test/run/lib-platform.sh

service_of() { # service_of I: daemons 0 to 2 and 3 to 5 are in z1 to z3
	[ "$1" -lt 3 ] && echo cal || echo desk
}

start() { # start I
	data_centre=z$((1 + $1 % 3)) start_daemon "$1" "$(service_of "$1")"
}

run_load() {
	local i key=0
	while :; do
		for i in 0 1 2 3 4 5; do
			key=$(((key + 4999) % 65536))
			request_status $i /p/x -X POST -m 1 >/dev/null
			request_status $i /k/x -m 1 -H "X-Shard-Key: $key" \
				>/dev/null
		done
	done
}

count_runs_in_z1() {
	cat "$WORK/s0.log" "$WORK/s3.log" | grep -c '^run '
}

runs_in_z1_exceed() { # runs_in_z1_exceed N
	[ "$(count_runs_in_z1)" -gt "$1" ]
}

has_run_of_each_service() {
	grep -q '^run ' "$WORK/s0.log" && grep -q '^run ' "$WORK/s3.log"
}

is_unkeyed_served() { # is_unkeyed_served I
	[ "$(request_status "$1" /p/x -X POST)" = 200 ]
}

start_process kv "$BIN/mpin-kvstore" "$KV"
wait_listening kv "$KV"
for i in 0 1 2 3 4 5; do
	start $i
	start_server $i "$(service_of $i)" "i-$i"
done
put_config "$config"
for i in 0 1 2 3 4 5; do
	wait_for 10 "readiness" is_ready $i
done
wait_for 15 "all keys" all_keys_served 0
wait_for 5 "coordinator" coordinator_index >/dev/null
for n in 1 2 3; do
	start_process "load$n" run_load
done
wait_for 10 "requests in z1" has_run_of_each_service
echo "both targets of z1 get requests"

coordinator=$(coordinator_index)
[ "$coordinator" = 0 ] && beside=3 || beside=0
curl -s -o /dev/null --data-binary '{}' \
	"http://127.0.0.1:$KV/control/put?key=op/evacuate/z1"
ordered=$(wall_ms)
kill_processes "n$coordinator" "s$coordinator"
sleep "$(awk "BEGIN { print (5000 - ($(wall_ms) - $ordered)) / 1000 }")"
before=$(count_runs_in_z1)

wait_for 10 "all keys beside emptied targets" all_keys_served $beside
wait_for 5 "requests without a key there" is_unkeyed_served $beside
echo "callers beside the emptied targets are served"
kill_processes "n$beside"
start $beside
wait_for 10 "readiness after a restart" is_ready $beside
wait_for 10 "all keys after a restart" all_keys_served $beside
sleep 1
echo "requests in z1 from 5 s after the order on: $(($(count_runs_in_z1) - before))"

curl -s -o /dev/null --data-binary \
	'{"expectedRev":[],"puts":[],"deletes":["op/evacuate/z1"]}' \
	"http://127.0.0.1:$KV/api/kv-txn"
wait_for 20 "requests in z1" runs_in_z1_exceed "$before"
echo "targets of z1 get requests again"
