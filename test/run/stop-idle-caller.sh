# Guards against a planned stop that loses a request on a connection that was
# idle when the daemon began to close its connections.
. test/lib.sh
trap '' PIPE

start_fleet
exec 3<>"/dev/tcp/127.0.0.1/$(http_port landshut-1)"
send_signal daemon-landshut-1 TERM
is_finishing() {
	grep -q event=finishing "$WORK/daemon-landshut-1.log"
}
wait_for 10 "the end of the drain" is_finishing
sleep 0.3
printf 'GET /kiln/key-1 HTTP/1.1\r\nHost: test\r\n\r\n' >&3 2>/dev/null
answer=$(timeout 5 cat <&3 2>/dev/null | tr -d '\r')
head -n 1 <<<"$answer"
grep -i '^connection:' <<<"$answer"
exec 3<&- 3>&-
wait_process_end daemon-landshut-1 10
echo "daemon: exit status $?"

# A connection that stays idle does not keep the daemon from its end.
exec 3<>"/dev/tcp/127.0.0.1/$(http_port bamberg-2)"
send_signal daemon-bamberg-2 TERM
wait_process_end daemon-bamberg-2 10
echo "daemon: exit status $?"
