# Guards against keys without an owner for the length of an outage of the store:
# their owner has released them, and the move to their new owner cannot be
# written.
announce_ms=870ms
hold_max_ms=10s
. test/run/lib-platform.sh

start_platform_fleet
put_config "$config"
wait_for 10 "readiness" is_ready 0
wait_for 15 "all keys" all_keys_served 0
wait_for 15 "the end of the moves" map_is_settled

# request_key KEY: prints the key if daemon 2 does not answer a request for it.
request_key() {
	[ "$(request_status 2 /k/x -H "X-Shard-Key: $1")" = 200 ] || echo "$1"
}
export -f request_key request_status
export PORT

# Requests a key of every second block, sixteen at a time.
print_unserved_keys() {
	seq 0 256 65535 | xargs -P 16 -I{} bash -c 'request_key {}'
}

# A third target is to get a third of the keys, a few at a time.
slot_changes() {
	cat "$WORK"/n*.log | grep -c 'event=map_changed .* slots=[1-9]'
}
before=$(slot_changes)
start_daemon 3 cal
start_server 3 cal i-3
moves_have_begun() {
	[ "$(slot_changes)" -gt "$before" ]
}
wait_for 15 "moves to the third target" moves_have_begun
curl -s -o /dev/null -X POST \
	"http://127.0.0.1:$KV/control/down?mode=refuse"
sleep 6
echo "keys without an answer: $(print_unserved_keys | wc -l)"
curl -s -o /dev/null -X POST "http://127.0.0.1:$KV/control/up"
all_are_served() {
	[ -z "$(print_unserved_keys)" ]
}
wait_for 20 "all keys after the outage" all_are_served
echo "all keys served after the outage"
