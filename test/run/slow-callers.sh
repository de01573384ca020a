# Guards against callers that read large answers slowly and fill the memory of
# the node that they asked, against answers that are cut off to make room, and
# against small requests that are refused with the large ones. 200 callers ask
# for 540 KB each at once and read 160 KB a second; limits.max_answer_bytes is
# 16 MiB.
. test/lib.sh

BYTES=552960
# Peak of the daemon that the callers ask: 16 MiB of answers, and 24 MiB for all
# else (14 MiB without load, the copies of a few answers on their way).
BOUND_KB=$((40 * 1024))

peak_kb() { # peak_kb PROCESS-NAME
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' \
		"/proc/${process_ids[$1]}/status"
}

add_node a Franken bamberg r1 none
add_node b Franken bamberg r1 kiln
add_node c Franken bamberg r1 mold
printf '\n[limits]\nmax_answer_bytes = 16777216\n' >>"$WORK/a.toml"
write_document "$WORK/document.json" "$(service_entry kiln 10 1 true)" \
	"$(service_entry mold 10 1 true)"
start_store
for node in a b c; do
	start_daemon $node
	wait_listening daemon-$node "$(admin_port $node)"
done
start_target b --service-ms 100 --concurrency 64 --queue 200
start_target c --service-ms 5
wait_for 30 "targets" all_live 2
apply "$WORK/document.json" >"$WORK/apply.log" || fail "apply"
wait_owned 10
python3 test/run/slow-callers.py "$(http_port a)" 200 40 /kiln/k1 $BYTES \
	/mold/k1
peak=$(peak_kb daemon-a)
echo "peak of the ingress's node: $peak KB, of the gate's:" \
	"$(peak_kb daemon-b) KB" >&2
grep -o 'event=answers_full' "$WORK/daemon-a.log" | sort -u
# The sanitizer's own memory would count, too.
if ! grep -q __asan_init "$BIN/mpind" && [ "$peak" -gt $BOUND_KB ]; then
	echo "peak of $peak KB"
fi
