# Guards against nodes that never learn of an order to empty their data centre,
# because their watches went silent and the coordinator tells only of documents.
# All three nodes are in that data centre.
announce_ms=870ms
hold_max_ms=10s
. test/run/lib-platform.sh

is_ordered() { # is_ordered I
	grep -q 'event=data_centre_order ' "$WORK/n$1.log"
}

is_refused() { # is_refused I
	[ "$(request_status "$1" /p/x -X POST)" = 503 ]
}

start_relayed_fleet
echo "without a key: $(request_status 1 /p/x -X POST)"
silence_open_store_connections
start=$(wall_ms)
curl -s -o /dev/null --data-binary '{}' \
	"http://127.0.0.1:$KV/control/put?key=op/evacuate/z"
for i in 0 1 2; do
	wait_for 20 "the order on n$i" is_ordered $i
	took=$(($(wall_ms) - start))
	echo "n$i: $took ms" >&2
	[ "$took" -le 5000 ] && echo "known within 5 s: yes"
done
for i in 0 1 2; do
	wait_for 2 "refusals on n$i" is_refused $i
done
echo "refused on each node"
all_keys_served 0 && echo "no node can take the keys: all served without a bound"
