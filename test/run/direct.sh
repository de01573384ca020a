# Guards against a target, load generator or checker that misses a fault. The
# load goes straight to targets, without daemons. The checker must find the
# violations of the later runs; otherwise a proof that passes would show nothing.
. test/lib.sh

add_node a Franken bamberg r1 kiln
add_node b Franken bamberg r1 kiln
for node in a b; do
	start_process "target-$node" "$BIN/mpin-target" --service kiln \
		--port "$(target_port $node)" --log "$WORK/$node.runs" \
		--service-ms 5
	wait_listening "target-$node" "$(target_port $node)"
done
a=127.0.0.1:$(target_port a)
b=127.0.0.1:$(target_port b)

run_load() { # run_load NAME OPTION...
	local name=$1
	shift
	"$BIN/mpin-load" --name "$name" --direct --seconds 2 --rate 200 \
		--services kiln:/kiln/:1:keyed --keys 20 --timeout-ms 500 \
		--history "$WORK/$name.history" --report "$WORK/$name.report" "$@"
}

print_counts() { # print_counts NAME
	sed -n '/^requests/,/^latency/p' "$WORK/$1.report" | grep -v '^latency'
}

print_violated_rules() { # names of the violated rules
	grep '^violations by rule' "$WORK/verdict" | sed 's/ [0-9][0-9]*//g'
}

echo "plain"
run_load plain --to "$a" --to "$b" --answer-bytes 5000
print_counts plain
run_checker | tail -n 1

echo "faults of targets: no answer counts as whole"
run_load faults --to "$a" --to "$b" --fault cut:0.05 --fault unframed:0.05 \
	--fault hang:0.02 --fault slow-body:0.02
print_counts faults
run_checker | tail -n 1

echo "keys on both targets at once: overlaps are found"
run_load left --to "$a" --to "$b" --seed 1 --header Test-Service-Ms:30 &
left=$!
run_load right --to "$b" --to "$a" --seed 2 --header Test-Service-Ms:30
wait $left
run_checker >"$WORK/verdict"
echo "exit status $?"
print_violated_rules

echo "a target that was drained long ago: its runs are found"
run_checker --drained a=0 >"$WORK/verdict"
echo "exit status $?"
print_violated_rules

echo "a history of another caller is missing: its runs are found"
rm "$WORK"/{left,right,faults}.history
run_checker >"$WORK/verdict"
echo "exit status $?"
print_violated_rules

echo "planned stop"
send_signal target-a TERM
wait_process_end target-a 10
echo "exit status $?"
