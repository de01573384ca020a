# Guards against a cold target that gets more requests than it takes, and against
# a daemon that does not know it after its own restart. One of two targets takes
# 10 requests a second while it is cold; 200 arrive, and the daemon beside it is
# killed and started again meanwhile.
. test/lib.sh

COLD_MS=9000

# count_starts FROM-MS UNTIL-MS: prints how many requests target a began between
# these times after its first announcement, and the most in any second.
count_starts() {
	python3 - "$WORK/a.runs" "$announced" "$1" "$2" <<-'END'
		import json, sys
		path, start, since, until = sys.argv[1], *map(int, sys.argv[2:])
		times = sorted(r["t_ns"] / 1e6 for r in map(json.loads, open(path))
			if r["ev"] == "start")
		times = [t for t in times
			if since <= t - start / 1e6 < until]
		most = max((sum(t <= u < t + 1000 for u in times) for t in times),
			default=0)
		print(len(times), most)
	END
}

for node in a b; do
	add_node $node Bayern landshut "r-$node" kiln
done
write_document "$WORK/document.json" \
	"$(service_entry kiln 10 1 true | sed 's/"shards"/"cold_per_s": 10, "shards"/')"
start_store
for node in a b; do
	start_daemon $node
	wait_listening daemon-$node "$(admin_port $node)"
done
start_target b --service-ms 20
wait_for 30 "node b" all_live 1
apply "$WORK/document.json" >"$WORK/apply.log" || fail "apply"
wait_owned 10
announced=$(now_ns)
start_target a --service-ms 20 --cold-ms $COLD_MS
wait_live 10
start_process load "$BIN/mpin-load" --name run $(load_address_options b) \
	--services kiln:/kiln/:1:keyed --rate 200 --seconds 16 --keys 200 \
	--skew 0 --post-share 0.5 --history "$WORK/load.history" \
	--report "$WORK/report.txt"
sleep 3
kill_processes daemon-a
start_daemon a
wait_process_end load 60 || fail "load generator"
read -r cold most <<<"$(count_starts 0 $COLD_MS)"
echo "cold: $cold begun, at most $most in a second" >&2
[ "$cold" -gt 5 ] && echo "the cold target got requests"
[ "$most" -le 23 ] && echo "no second had more than 1.5 times the rate and 8"
grep -c 'event=target_cold_limit .* per_s=10.000' "$WORK/daemon-a.log"
grep -c 'event=target_cold_limit .* per_s=0.000' "$WORK/daemon-a.log"
