# Guards against a planned stop that takes requests late in its grace period,
# passes them on, and cuts them off without an answer when the period ends.
. test/run/lib-platform.sh

# The target runs a request for 4 s; the grace period of the stop is 6 s.
start_process kv "$BIN/mpin-kvstore" "$KV"
wait_listening kv "$KV"
daemon_settings='
[stop]
grace_ms = "6s"
notice_ms = "2300ms"'
start_daemon 0 cal
start_server 0 cal i-0 --work-ms 4000
start_daemon 2 desk
start_server 2 desk i-2 --work-ms 4000
put_config "${config//\"2000ms\"/\"20s\"}"
wait_for 10 "readiness" is_ready 0
DEADLINE_MS=20000
is_served() {
	[ "$(request_status 0 /p/x)" = 200 ]
}
wait_for 15 "an answer" is_served

send_request() { # send_request: notes when it was sent and its status
	local sent=$(($(wall_ms) - begun)) status failed=0
	status=$(request_status 0 /p/x -X POST -d body \
		--write-out '%{http_code} connect=%{time_connect}') || failed=$?
	echo "$sent $status failed=$failed" >>"$WORK/answers"
}

# The target runs four requests at a time, so that none has to wait.
begun=$(wall_ms)
send_signal n0 TERM
requests=
for _ in 1 2 3 4 5 6 7 8; do
	send_request &
	requests="$requests $!"
	sleep 0.65
done
# shellcheck disable=SC2086
wait $requests || :
wait_process_end n0 15
echo "daemon: exit status $?"
# With curl's time to connect and its exit status, which tells a refused
# connection (7) from one that ended (52).
sort -n "$WORK/answers" >&2
grep -q ' 200 ' "$WORK/answers" && echo "served at first: yes"
# "000" stands for a connection that was refused or ended without an answer.
taken=$(awk '$1 < 2300' "$WORK/answers" | wc -l)
echo "taken in the notice period: $taken"
echo "of these without an answer: $(awk '$1 < 2300 && $2 == "000"' \
	"$WORK/answers" | wc -l)"
# One was run before the stop.
echo "passed on later: $(($(grep -c '^run' "$WORK/s2.log") - taken - 1))"
