# Guards against the loss of a target's first announcement after a start of its
# daemon: the store has not told yet which of its runs have left, and the target
# would get nothing until it announces itself again.
. test/run/lib-platform.sh

start_process kv "$BIN/mpin-kvstore" "$KV"
wait_listening kv "$KV"
send_signal kv STOP
start_daemon 2 desk
wait_listening n2 $((PORT + 21))
curl -s -o "$WORK/answer" -w '%{http_code}' -m 5 -d "{\"service\":\"desk\",
	\"address\":\"127.0.0.1:$((PORT + 22))\",\"zone\":\"z\",\"version\":\"v1\",
	\"slots\":4,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"sequence\":1,
	\"born\":$(wall_ms),\"holds\":[],\"released\":[]}" \
	"http://127.0.0.1:$((PORT + 21))/api/instances/i-2/heartbeat" \
	>"$WORK/status" &
call=$!
sleep 0.3
echo "answered before the store: $(wc -c <"$WORK/status")"
send_signal kv CONT
wait $call || :
echo "status: $(cat "$WORK/status")"
grep -ho 'event=target_announced' "$WORK/n2.log"
