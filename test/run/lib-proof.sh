# Functions for the proofs, which are scripts that show that a guarantee holds
# under certain faults. Sourced by bash; sources test/lib.sh. A proof prints only
# fixed lines to standard output, so that the output can be compared; what varies
# goes to standard error.
#
# Some proofs name a guard: a safety mechanism that MPIN_GUARDS_OFF can switch
# off in a test build. The proof must fail without it.
# shellcheck shell=bash

cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
. test/lib.sh

PROOF_RATE=${PROOF_RATE:-150}

# add_proof_nodes [COUNT]: adds nodes n1... of one service in three regions.
add_proof_nodes() {
	local i region
	for i in $(seq 1 "${1:-6}"); do
		region=$((i % 3))
		add_node "n$i" "r$region" "dc$i" "rack$i" kiln
	done
}

# start_relay [PROTOCOL]: puts a relay in front of every node's peer port. It
# listens on the ports from PORT+100 on; its control port is PORT+150. It relays
# TCP and UDP, or one of them: "udp" has its control port at PORT+151, where no
# command is sent, so that set_relay affects TCP alone.
start_relay() {
	local node first control=$((PORT + 150)) args=()
	[ "${1:-}" = udp ] && control=$((PORT + 151))
	for node in "${node_names[@]}"; do
		first=$((PORT + 100 + node_index[$node]))
		[ "${1:-tcp}" = tcp ] &&
			args+=(--forward "$first:127.0.0.1:$(peer_port "$node")")
		[ "${1:-udp}" = udp ] &&
			args+=(--forward "$first:127.0.0.1:$(peer_port "$node"):udp")
		grep -q "^advertise_peer_port" "$WORK/$node.toml" ||
			sed -i "s/^admin_port.*/&\nadvertise_peer_port = $first/" \
				"$WORK/$node.toml"
	done
	start_process "relay${1:+-$1}" "$BIN/mpin-relay" --control "$control" \
		"${args[@]}"
	wait_for 10 "relay" is_listening "$control"
}

peer_port() {
	echo $((PORT + 2 + 4 * node_index[$1]))
}

# set_relay NODE QUERY: sets how the relay treats the node's traffic, for
# instance "mode=silent&scope=existing".
set_relay() {
	curl -sf -X POST "http://127.0.0.1:$((PORT + 150))/set?listen=$((
		PORT + 100 + node_index[$1]))&$2" >/dev/null ||
		fail "relay command $2"
}

control_store() { # control_store PATH
	curl -sf -X POST "$STORE/control/$1" >/dev/null || fail "store $1"
}

apply_proof_document() { # apply_proof_document [DEADLINE-MS]
	cat >"$WORK/document.json" <<-END
		{ "version": 1, "services": { "kiln": {
		  "route": {"prefix": "/kiln/", "key": "segment"},
		  "shards": 32,
		  "weights": {"churn": 10, "imbalance": 1},
		  "auto_pins": 0,
		  "limits": {"deadline_ms": ${1:-4000}}}},
		  "stops": [] }
	END
	wait_for 20 "document" apply "$WORK/document.json" >/dev/null
}

# Targets that are announced when the document is applied share its slots evenly.
all_announced() {
	[ "$(status_value "sum(n['service'] != '' for n in s['nodes'])")" \
		= "${#node_names[@]}" ]
}

wait_announced() {
	wait_for 20 "announcements" all_announced
}

# edit_proof_document: changes the document, in the background, since mpinctl waits
# for all nodes. The change is revision 2.
edit_proof_document() {
	sed 's/"deadline_ms": [0-9]*/"deadline_ms": 3003/' \
		"$WORK/document.json" >"$WORK/edit.json"
	ctl apply "$WORK/edit.json" >"$WORK/apply.log" 2>&1 &
}

edit_is_in_force() { # true if all nodes have the change in force
	local node
	for node in "${node_names[@]}"; do
		grep -q "event=document_in_force revision=2 " \
			"$WORK/daemon-$node.log" || return 1
	done
}

# start_proof_fleet [TARGET OPTION...]: starts the store and the nodes, applies
# the document and waits until all shards have owners.
start_proof_fleet() {
	start_store
	start_nodes --concurrency 20 --connections 60 --service-ms 5 \
		--checks "${PROOF_CHECKS:-fence,deadline,sender}" "$@"
	wait_announced
	apply_proof_document
	wait_owned 30
}

# start_proof_load SECONDS [OPTION...]: sends load to all nodes, in the
# background.
start_proof_load() {
	local seconds=$1
	shift
	# shellcheck disable=SC2046
	start_process load "$BIN/mpin-load" --name load $(load_address_options) \
		--services kiln:/kiln/:1 --rate "$PROOF_RATE" \
		--seconds "$seconds" --keys 400 --post-share 0.6 \
		--idempotency-key-share 0 --tenants 5 --seed 11 \
		--timeout-ms 6000 --history "$WORK/load.history" \
		--report "$WORK/report.txt" "$@"
}

wait_proof_load_end() {
	wait_process_end load 60 || fail "load generator"
}

# owner_of KEY: prints the name of the node that owns the key.
owner_of() {
	ctl explain kiln "$1" --json | python3 -c "
import json, sys
print(json.load(sys.stdin)['owner'])"
}

# Prints the name of a live node that owns slots and is not the coordinator.
find_owner() {
	status_value "[n['name'] for n in s['nodes'] if n['slots'] and
		n['state'] == 'live' and n['name'] != s['coordinator']][0]"
}

freeze() { # freeze PROCESS...
	local name
	for name in "$@"; do
		send_signal "$name" STOP
	done
}

resume() {
	local name
	for name in "$@"; do
		send_signal "$name" CONT
	done
}

# print_proof_verdict OPTION...: runs the checker with these options and prints
# its verdict as fixed lines.
print_proof_verdict() {
	run_checker "$@" >"$WORK/verdict.txt" 2>&1
	local status=$?
	cat "$WORK/verdict.txt" >&2
	sed -n 's/^served .*, \(misrouted.*\)/\1/p' "$WORK/verdict.txt"
	if [ $status -eq 0 ]; then
		echo "verdict: holds"
	else
		echo "verdict: violated"
	fi
}

# print_served_share PERCENT: tells if at least this share of the requests was
# answered.
print_served_share() {
	local answered sent
	read -r answered sent < <(sed -n \
		's/^served \([0-9]*\) of \([0-9]*\),.*/\1 \2/p' \
		"$WORK/verdict.txt")
	if [ $((answered * 100)) -ge $((sent * $1)) ]; then
		echo "served: at least $1%"
	else
		echo "served: $answered of $sent, less than $1%"
	fi
}
