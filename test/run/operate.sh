# Guards against answers of the daemons that mpinctl does not understand. Runs
# status, explain, forget, drain and apply against a running system and checks
# the exit status of each.
. test/run/lib-proof.sh
add_proof_nodes 3
start_proof_fleet
ctl status | grep -c '^[0-9]* *n[1-3] .*live'
ctl status | tail -n 1
ctl explain kiln passau-7 --json | python3 -c "
import json, sys
e = json.load(sys.stdin)
print(e['service'], e['key'], e['pinned'], e['owner_state'], e['why'])
print('history:', 'some' if e['history'] else 'none')"
ctl explain harbour passau-7 >/dev/null 2>&1
echo "explain of an unknown service: $?"
ctl forget n1 >/dev/null 2>&1
echo "forget of a live node: $?"
ctl forget n9 >/dev/null 2>&1
echo "forget of an unknown node: $?"
ctl drain n1
echo "drain: $?"
no_slots() {
	[ "$(status_value "[n['slots'] for n in s['nodes']
		if n['name'] == 'n1'][0]")" = 0 ]
}
wait_for 10 "drained node" no_slots
ctl undrain n1
echo "undrain: $?"
sed 's/"shards": 32/"shards": 64/' "$WORK/document.json" >"$WORK/more.json"
ctl apply "$WORK/more.json" >/dev/null
echo "apply: $?"
wait_for 10 "attention line" sh -c "$BIN/mpinctl --store $STORE status |
	grep -q '^attention: kiln keeps'"
ctl status | grep '^attention'
for node in "${node_names[@]}"; do
	curl -sf "http://127.0.0.1:$(admin_port "$node")/healthz"
done
# Malformed announcements must be refused and change nothing.
for body in '{' '[]' '{"service": 1}' \
	'{"service": "kiln", "address": "name", "port": 1, "concurrency": 1}' \
	'{"service": "kiln", "address": "127.0.0.1", "port": 70000,
	  "concurrency": 1}'; do
	curl -s -o /dev/null -w '%{http_code}\n' -d "$body" \
		"http://127.0.0.1:$(admin_port n1)/announce"
done
head -c 100000 /dev/zero | curl -s -o /dev/null -w '%{http_code}\n' \
	--data-binary @- "http://127.0.0.1:$(admin_port n1)/announce"
# Random bytes on the peer port must close that connection only.
head -c 2000 /dev/urandom >"/dev/tcp/127.0.0.1/$(peer_port n1)"
ctl status | grep -c '^[0-9]* *n[1-3] .*live'
