#!/usr/bin/env bash
# Usage: bench/load.sh BUILD-DIR
#
# Measures latency and processor time of requests through the daemons against
# requests sent straight to the targets. Runs six daemons with targets of one
# service, and one store, on loopback, and sends the same open-loop load at each
# rate both ways: routed and direct. Prints lines "name value unit - -" (no
# figure has a bound) and writes build/load.txt and build/load.svg. The figures
# depend on the machine and its other work. Takes about 90 s. LOAD_RATES and
# LOAD_SECONDS change the load.
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=$1
WORK=$(mktemp -d)
# shellcheck source=test/ports.sh
. test/ports.sh
take_ports || exit 1
# shellcheck source=test/lib.sh
. test/lib.sh

RATES=${LOAD_RATES:-250 500 1000 2000 4000}
SECONDS_OF_LOAD=${LOAD_SECONDS:-8}
TABLE=$WORK/table
# No rate starts later than this, so that the script ends within two minutes.
LAST_BEGIN_S=90

# Fixed service time, no log and no history, so that only the daemons make a
# difference between the two ways.
start_targets() {
	local node
	for node in "${node_names[@]}"; do
		start_process "target-$node" "$BIN/mpin-target" --name "$node" \
			--service kiln --port "$(target_port "$node")" \
			--daemon "127.0.0.1:$(admin_port "$node")" \
			--service-ms 1 --checks fence,deadline
	done
}

start_all() {
	local node
	for node in landshut passau bamberg; do
		add_node "$node-1" Bayern "$node" r1 kiln
		add_node "$node-2" Bayern "$node" r2 kiln
	done
	write_document "$WORK/document.json" \
		"$(service_entry kiln 10 1 false)"
	start_store
	for node in "${node_names[@]}"; do
		start_daemon "$node"
		wait_listening "daemon-$node" "$(admin_port "$node")"
	done
	start_targets
	for node in "${node_names[@]}"; do
		wait_listening "target-$node" "$(target_port "$node")"
	done
	wait_live 30
	apply "$WORK/document.json" >"$WORK/apply.log" ||
		fail "apply: $(cat "$WORK/apply.log")"
	wait_owned 10
}

# Prints the processor time of all daemons in us, from their metrics.
daemon_cpu_us() {
	local node total=0 us
	for node in "${node_names[@]}"; do
		us=$(curl -sf --max-time 5 \
			"http://127.0.0.1:$(admin_port "$node")/metrics" |
			awk '$1 == "monsoonpin_process_cpu_seconds_total" \
				{ printf "%d", $2 * 1e6 }')
		[ -n "$us" ] || return 1
		total=$((total + us))
	done
	echo "$total"
}

# Prints the processor time of the targets, and of the store if routed, in us.
other_cpu_us() { # other_cpu_us WAY
	local name names=("${node_names[@]/#/target-}")
	[ "$1" = routed ] && names+=(store)
	for name in "${names[@]}"; do
		# Removes the command name, which ends with ")" and may contain
		# spaces.
		sed 's/.*) //' "/proc/${process_ids[$name]}/stat"
	done | awk -v hz="$(getconf CLK_TCK)" '{ n += $12 + $13 }
		END { printf "%d\n", n * 1e6 / hz }'
}

# generate NAME RATE SECONDS OPTION...: runs the load generator and prints the
# processor time that it used, in us.
generate() {
	local name=$1 rate=$2 seconds=$3 TIMEFORMAT='%U %S'
	shift 3
	{ time timeout --foreground $((seconds + 5)) "$BIN/mpin-load" --name "$name" \
		--services kiln:/kiln/:1 --rate "$rate" --seconds "$seconds" \
		--keys 2000 --skew 0.8 --post-share 0.4 --seed 7 \
		--timeout-ms 2000 \
		--report "$WORK/$name.txt" "$@" 2>>"$WORK/load.log"; } \
		2>"$WORK/$name.time" || return 1
	awk '{ print int(($1 + $2) * 1e6) }' "$WORK/$name.time"
}

target_address_options() {
	local node
	for node in "${node_names[@]}"; do
		printf -- '--to 127.0.0.1:%d ' "$(target_port "$node")"
	done
}

# measure RATE WAY OPTION...: runs one load and adds a line "RATE WAY DAEMONS-US
# WHOLE-US" of processor times to the table. WHOLE-US includes the targets, the
# generator and, if routed, the store and the daemons.
measure() {
	local rate=$1 way=$2 daemons others load after
	shift 2
	daemons=$(daemon_cpu_us) || fail "no metrics"
	others=$(other_cpu_us "$way")
	load=$(generate "$way-$rate" "$rate" "$SECONDS_OF_LOAD" "$@") ||
		fail "load $way at $rate/s"
	after=$(daemon_cpu_us) || fail "no metrics"
	daemons=$((after - daemons))
	others=$(($(other_cpu_us "$way") - others))
	[ "$way" = routed ] && others=$((others + daemons))
	echo "$rate $way $daemons $((others + load))" >>"$TABLE"
}

write_results() {
	python3 - "$WORK" build/load.txt build/load.svg \
		"$SECONDS_OF_LOAD" "$machine" <<-'END'
	import re, sys

	work, text_path, svg_path, seconds, machine = sys.argv[1:]
	WAYS = ('routed', 'direct')
	runs = {}
	for line in open(work + '/table'):
	    rate, way, daemons, whole = line.split()
	    run = {'daemons': int(daemons), 'whole': int(whole)}
	    report = open(f'{work}/{way}-{rate}.txt').read()
	    outcomes = report.split('requests by outcome\n')[1]
	    outcomes = outcomes.split('responses by status')[0]
	    run['outcomes'] = {k: int(n) for k, n in
	                       (o.split() for o in outcomes.splitlines())}
	    found = re.search(r'^  all +\d+ +(.+)$', report, re.M)
	    run['p50'], _, run['p99'] = map(float, found[1].split()[:3])
	    runs[int(rate), way] = run
	rates = sorted({rate for rate, _ in runs})
	figures = []

	def figure(name, value, unit):
	    figures.append(f'load.{name} {value:.6g} {unit} - -')

	def per_second(run, part):
	    answered = run['outcomes'].get('answered', 0)
	    return answered * 1e6 / run[part] if run[part] else 0

	for rate in rates:
	    routed, direct = (runs[rate, way] for way in WAYS)
	    for q in 'p50', 'p99':
	        figure(f'{rate}.added_{q}', routed[q] - direct[q], 'ms')
	        figure(f'{rate}.{q}_to_direct', routed[q] / direct[q], 'ratio')
	    figure(f'{rate}.daemons', per_second(routed, 'daemons'),
	           'requests/cpu-s')
	    figure(f'{rate}.whole', per_second(routed, 'whole'),
	           'requests/cpu-s')
	    figure(f'{rate}.whole_to_direct', per_second(routed, 'whole') /
	           per_second(direct, 'whole'), 'ratio')
	    for way in WAYS:
	        for name, n in runs[rate, way]['outcomes'].items():
	            figure(f'{rate}.{way}.{name}', n, 'requests')
	# The daemons get no requests while the load goes straight to the targets.
	idle = sum(runs[rate, 'direct']['daemons'] for rate in rates)
	idle /= 1000 * float(seconds) * len(rates)
	figure('daemons_idle', idle, 'cpu-ms/s')
	print('\n'.join(figures))

	with open(text_path, 'w') as out:
	    out.write(f'{machine}\n'
	              'Latency from the intended send time in ms (steps of 1/16 '
	              'of a power of two);\nrequests answered per processor '
	              'second of the daemons and of all processes\n(generator '
	              'included). The service time is 1 ms. Daemons without '
	              'requests:\n'
	              f'{idle:.1f} ms of processor time a second, all six.\n\n')
	    out.write(f'{"rate/s":>7} {"way":>7} {"p50":>8} {"p99":>8} '
	              f'{"daemons":>8} {"whole":>8}  outcomes\n')
	    for rate in rates:
	        for way in WAYS:
	            r = runs[rate, way]
	            daemons = '-'
	            if way == 'routed':
	                daemons = f'{per_second(r, "daemons"):.0f}'
	            names = ', '.join(f'{k} {n}' for k, n in
	                              r['outcomes'].items())
	            out.write(f'{rate:7} {way:>7} {r["p50"]:8.2f} '
	                      f'{r["p99"]:8.2f} {daemons:>8} '
	                      f'{per_second(r, "whole"):8.0f}  {names}\n')

	LEFT, TOP, WIDTH, HEIGHT = 60, 40, 600, 280
	highest = max(r['p99'] for r in runs.values()) * 1.1
	steps = max(len(rates) - 1, 1)

	def x(i):
	    return LEFT + WIDTH * i / steps

	def y(ms):
	    return TOP + HEIGHT * (1 - ms / highest)

	svg = ['<svg xmlns="http://www.w3.org/2000/svg" width="700" '
	       'height="380" font-family="sans-serif" font-size="12">',
	       '<rect width="100%" height="100%" fill="white"/>']
	for i in range(6):
	    ms = highest * i / 5
	    svg.append(f'<line x1="{LEFT}" x2="{LEFT + WIDTH}" y1="{y(ms):.1f}" '
	               f'y2="{y(ms):.1f}" stroke="#ccc"/><text x="{LEFT - 6}" '
	               f'y="{y(ms) + 4:.1f}" text-anchor="end">{ms:.1f}</text>')
	for i, rate in enumerate(rates):
	    svg.append(f'<text x="{x(i):.1f}" y="{TOP + HEIGHT + 18}" '
	               f'text-anchor="middle">{rate}</text>')
	curves = (('routed', 'p50', '#1f77b4'), ('routed', 'p99', '#ff7f0e'),
	          ('direct', 'p50', '#2ca02c'), ('direct', 'p99', '#9467bd'))
	for i, (way, q, colour) in enumerate(curves):
	    points = ' '.join(f'{x(j):.1f},{y(runs[rate, way][q]):.1f}'
	                      for j, rate in enumerate(rates))
	    svg.append(f'<polyline fill="none" stroke="{colour}" '
	               f'points="{points}"/><text x="{LEFT + i * 150}" y="20" '
	               f'fill="{colour}">{way} {q}</text>')
	svg.append(f'<text x="{LEFT}" y="370">latency from the intended send '
	           'time in ms, by arrivals per second</text></svg>')
	open(svg_path, 'w').write('\n'.join(svg) + '\n')
	END
}

start_all
machine="$(nproc) processors, shared; load average $(cut -d' ' -f1 /proc/loadavg)"
# shellcheck disable=SC2207 # options without spaces
to_daemons=($(load_address_options)) to_targets=(--direct $(target_address_options))
# Lets connections, links and the limits of the gates settle before the first
# rate.
generate warm-routed 500 2 "${to_daemons[@]}" >/dev/null ||
	fail "warming up"
generate warm-direct 500 2 "${to_targets[@]}" >/dev/null ||
	fail "warming up"
for rate in $RATES; do
	if [ "$SECONDS" -ge $LAST_BEGIN_S ]; then
		echo "out of time: left out rates from $rate/s on" >&2
		break
	fi
	measure "$rate" routed "${to_daemons[@]}"
	measure "$rate" direct "${to_targets[@]}"
done
machine+=" before, $(cut -d' ' -f1 /proc/loadavg) after"
write_results || fail "results"
kill_processes "${!process_ids[@]}"
rm -rf "$WORK"
