# Guards against announcements of another writer that take the place of the
# daemon's own target: its announcements would count as old from then on, and it
# would get no requests until the daemon is started again.
. test/run/lib-platform.sh

start_platform_fleet
put_config "$config"
is_served() {
	[ "$(request_status 2 /p/x -X POST)" = 200 ]
}
wait_for 10 "a served request" is_served
echo "served before"

# announce NAME ID BODY: sends the announcement to the daemon of the target i-2
# and prints the answer's status, and whether requests are still served.
announce() {
	local status
	status=$(printf '%s' "$3" | curl -s -o /dev/null -w '%{http_code}' \
		-H 'Content-Type: application/json' --data-binary @- \
		"http://127.0.0.1:$((PORT + 21))/api/instances/$2/heartbeat")
	# Several announcements of the target.
	sleep 1
	is_served && echo "$1: $status, served" || echo "$1: $status, not served"
}

# fields ADDRESS SERVICE BORN [MORE]
fields() {
	printf '{"service":"%s","address":"%s","zone":"z","version":"v1",%s' \
		"$2" "$1" '"slots":8,"state":"ready","coldRemaining":"0ms",'
	printf '"sequence":1,"born":%s%s}' "$3" "${4:-}"
}

own=127.0.0.1:$((PORT + 22))
now=$(date +%s%3N)
deep=$(printf '%5000s' '' | tr ' ' '[')

announce "nested deeply" i-2 "$deep"
announce "deep in a field" i-2 "$(fields $own desk "$now" ",\"x\":$deep")"
announce "number too large" i-2 "$(fields $own desk 1e999)"
announce "more than 64 bits" i-2 "$(fields $own desk 99999999999999999999)"
announce "fraction" i-2 "$(fields $own desk 1.5)"
announce "port 0" i-2 "$(fields 127.0.0.1:0 desk "$now")"
announce "port 70000" i-2 "$(fields 127.0.0.1:70000 desk "$now")"
announce "bytes after the port" i-2 "$(fields "$own,x" desk "$now")"
announce "no address" i-2 "$(fields localhost:80 desk "$now")"
announce "no UTF-8" i-2 "$(fields $own $'d\xff' "$now")"
announce "another service" i-9 "$(fields $own unknown "$now")"
announce "start in the far future" i-2 \
	"$(fields $own desk 9223372036854775807)"
announce "start in two days" i-2 "$(fields $own desk $((now + 172800000)))"
# One that is taken for the next run would clear what the present one holds.
announce "an earlier run" i-2 "$(fields $own desk $((now - 86400000)))"
echo "runs taken for new ones: $(cat "$WORK"/n*.log |
	grep -c 'event=target_restarted')"

# What follows a body that was cut may be the rest of the next call.
printf '{"bornPOST /api/instances/i-2/heartbeat' |
	curl -s -o /dev/null -D - --data-binary @- \
		"http://127.0.0.1:$((PORT + 21))/api/instances/i-2/deregister" |
	tr -d '\r' | grep -E '^(HTTP|Connection)'
sleep 1
is_served && echo "cut leave call: served" || echo "cut leave call: not served"
