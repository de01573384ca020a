#!/usr/bin/env bash
# Usage: test/demo.sh BUILD-DIR
#
# Starts 18 daemons with their targets in three regions of two data centres
# each, and one store, all on loopback. Sends requests to three services while
# one node (daemon and target) is killed and another is drained, then prints the
# results and the checker's verdict. Fails if a request was misrouted or run
# twice. DEMO_SECONDS and DEMO_RATE change the load, PORT the ports; DEMO_SVG
# names a file for the latency diagram.
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=$1
. test/ports.sh
[ -n "${PORT:-}" ] || take_ports || exit 1
WORK=$(mktemp -d)
SECONDS_OF_LOAD=${DEMO_SECONDS:-20}
RATE=${DEMO_RATE:-300}
. test/lib.sh

KILLED=passau-1
DRAINED=bamberg-1

add_data_centre() { # add_data_centre REGION NAME
	add_node "$2-1" "$1" "$2" r1 catalogue
	add_node "$2-2" "$1" "$2" r2 kiln
	add_node "$2-3" "$1" "$2" r3 dues
}

print_services() {
	ctl status --json | python3 -c "
import json, sys
s = json.load(sys.stdin)
print('coordinator %s, term %d, map revision %d' %
	(s['coordinator'], s['term'], s['map_revision']))
for v in sorted(s['services'], key=lambda v: v['name']):
	causes = ', '.join('%s %d' % c for c in v['moves_by_cause'].items()
		if c[1])
	print('%-10s owned %d of %d shards, peak to mean %.2f, moves %d (%s)' %
		(v['name'], v['owned'], v['shards'], v['peak_to_mean'],
		v['moves'], causes or 'none'))
nodes = {}
for n in s['nodes']:
	nodes.setdefault(n['service'] or 'no target', []).append(
		'%s %d' % (n['name'], n['slots']))
for service, names in sorted(nodes.items()):
	print('%-10s slots: %s' % (service, ', '.join(sorted(names))))"
}

add_data_centre Oberbayern rosenheim
add_data_centre Oberbayern ingolstadt
add_data_centre Niederbayern landshut
add_data_centre Niederbayern passau
add_data_centre Franken bamberg
add_data_centre Franken ansbach

begun=$(wall_ms)
write_document "$WORK/document.json" \
	"$(service_entry catalogue 10 1 false)" \
	"$(service_entry kiln 10 1 true)" \
	"$(service_entry dues 10 1 false)"
# shellcheck disable=SC2119 # the function takes no arguments of the script
start_store
start_nodes --concurrency 20 --connections 130 --queue 64 --service-ms 5 \
	--service-jitter-ms 10 --checks fence,deadline,sender
wait_live 30
apply "$WORK/document.json" >"$WORK/apply.log" || fail "apply: $(cat "$WORK/apply.log")"
wait_owned 10
for node in "$KILLED" "$DRAINED"; do
	[ "$(count_slots "$node")" -gt 0 ] || fail "$node owns nothing"
done
echo "18 daemons and targets ready after $(($(wall_ms) - begun)) ms"
print_services

# shellcheck disable=SC2046,SC2119
start_process load "$BIN/mpin-load" --name demo $(load_address_options) \
	--services catalogue:/catalogue/:0.5,kiln:/kiln/:0.3:keyed,dues:/dues/:0.2 \
	--rate "$RATE" --seconds "$SECONDS_OF_LOAD" --keys 2000 --skew 0.8 \
	--post-share 0.4 --idempotency-key-share 0.3 --tenants 20 --seed 7 \
	--history "$WORK/load.history" --report "$WORK/report.txt" \
	--svg "$WORK/latency.svg"
sleep $((SECONDS_OF_LOAD / 4))
lost=$(now_ns)
kill_processes "daemon-$KILLED" "target-$KILLED"
dead=$(now_ns_rounded_up)
echo "killed $KILLED (daemon and target)"
sleep $((SECONDS_OF_LOAD / 4))
drained=$(now_ns)
ctl drain "$DRAINED" >"$WORK/drain.log" 2>&1 || fail "drain: $(cat "$WORK/drain.log")"
echo "drained $DRAINED"
wait_process_end load $((SECONDS_OF_LOAD + 20)) || fail "load generator"

echo
print_services
echo
head -n 1 "$WORK/report.txt"
sed -n '/^latency/,/^  all that/p' "$WORK/report.txt"
[ -n "${DEMO_SVG:-}" ] && cp "$WORK/latency.svg" "$DEMO_SVG"
echo
run_checker --lost "$KILLED=$lost" --killed "$KILLED=$dead" \
	--drained "$DRAINED=$drained" >"$WORK/verdict.txt"
checked=$?
cat "$WORK/verdict.txt"
if [ $checked -eq 0 ]; then
	kill_processes "${!process_ids[@]}"
	rm -rf "$WORK"
else
	echo "logs and histories are kept in a scratch directory" >&2
fi
exit $checked
