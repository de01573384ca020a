#!/usr/bin/env bash
# Usage: bench/pipeline.sh BUILD-DIR
#
# Measures eight look-ups of 60 ms that a caller sends on one connection before
# the first is answered: the time until the last answer. Side by side they take
# little more than one; one after another they would take 480 ms. Prints a line
# "name value unit bound verdict" for the median.
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=$1
WORK=$(mktemp -d)
# shellcheck source=test/ports.sh
. test/ports.sh
take_ports || exit 1
# shellcheck source=test/lib.sh
. test/lib.sh

ROUNDS=21
LOOKUPS=8
SERVICE_MS=60
BOUND_MS=90

add_node passau-1 Bayern passau r1 kiln
add_node passau-2 Bayern passau r2 kiln
write_document "$WORK/document.json" "$(service_entry kiln 10 1 false)"
start_store
for node in "${node_names[@]}"; do
	start_daemon "$node"
	wait_listening "daemon-$node" "$(admin_port "$node")"
	start_process "target-$node" "$BIN/mpin-target" --name "$node" \
		--service kiln --port "$(target_port "$node")" \
		--daemon "127.0.0.1:$(admin_port "$node")" \
		--service-ms $SERVICE_MS --concurrency 40 --connections 100 \
		--checks fence,deadline
done
wait_live 30
apply "$WORK/document.json" >"$WORK/apply.log" ||
	fail "apply: $(cat "$WORK/apply.log")"
wait_owned 20

median=$(python3 - "$(http_port passau-1)" $ROUNDS $LOOKUPS <<'PYTHON'
import socket
import statistics
import sys
import time

port, rounds, lookups = (int(a) for a in sys.argv[1:])
caller = socket.create_connection(("127.0.0.1", port))
times = []
for r in range(rounds):
    requests = "".join(
        f"GET /kiln/key-{r}-{i} HTTP/1.1\r\nHost: a\r\n\r\n"
        for i in range(lookups))
    start = time.monotonic()
    caller.sendall(requests.encode())
    received = b""
    while received.count(b"HTTP/1.1 200") < lookups:
        part = caller.recv(65536)
        if not part or b"HTTP/1.1 5" in part:
            sys.exit(f"no answer: {received + part!r}")
        received += part
    times.append((time.monotonic() - start) * 1000)
print(f"{statistics.median(times):.1f}")
PYTHON
) || fail "look-ups"
verdict=MISSED
if awk "BEGIN { exit !($median < $BOUND_MS) }"; then
	verdict=ok
fi
echo "pipeline.median $median ms <$BOUND_MS $verdict"
