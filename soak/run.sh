#!/usr/bin/env bash
# Usage: soak/run.sh BUILD-DIR SEED... | soak/run.sh BUILD-DIR FIRST-LAST
# Runs soak/soak.sh for each seed, SOAK_JOBS at a time. Prints one line for each
# seed, details of those that fail, and totals. The last line is
# "N passed, N failed".
set -u
cd "$(dirname "$0")/.." || exit 1
export BIN=$1 SOAK_SECONDS=${SOAK_SECONDS:-20}
shift

run_seed() {
	. test/ports.sh && take_ports || return
	WORK=$(mktemp -d)
	export WORK SOAK_SEED=$1
	if timeout $((SOAK_SECONDS + 150)) bash soak/soak.sh \
		>"$WORK/out" 2>"$WORK/err"; then
		echo "PASS seed $1: $(sed -n 's/^served again after/&/p;
			s/^served \([0-9]* of [0-9]*\).*/answered \1/p' \
			"$WORK/out" | paste -sd' ')"
		grep '^fault ' "$WORK/out" >>"$SOAK_REPORT.faults"
		grep '^requests by outcome' "$WORK/out" >>"$SOAK_REPORT.outcomes"
		grep -o 'served again after [0-9]*' "$WORK/out" |
			cut -d' ' -f4 >>"$SOAK_REPORT.times"
		rm -rf "$WORK"
	else
		echo "FAIL seed $1: $(grep -E '^(VIOLATION|FAILED)' "$WORK/out" |
			head -n 2 | paste -sd' ')"
		tail -n 15 "$WORK/err"
		echo "kept: the logs of seed $1 in a scratch directory"
	fi
}
export -f run_seed

print_report() {
	echo "faults by kind:"
	awk '{ n[$2] += $3 } END { for (k in n) print "  " k, n[k] }' \
		"$SOAK_REPORT.faults" | sort
	echo "requests by outcome:"
	sed 's/^requests by outcome//' "$SOAK_REPORT.outcomes" |
		awk '{ gsub(/[:,]/, " "); for (i = 1; i < NF; i += 2)
			n[$i] += $(i + 1) }
			END { for (k in n) print "  " k, n[k] }' | sort
	echo "ms until all keys were served again, least, median, most:"
	sort -n "$SOAK_REPORT.times" | awk '{ t[NR] = $1 }
		END { if (NR) print "  " t[1], t[int((NR + 1) / 2)], t[NR] }'
}

mkdir -p build
SOAK_REPORT=$(mktemp -d)/report
export SOAK_REPORT
touch "$SOAK_REPORT".{faults,outcomes,times}
for arg in "$@"; do
	seq "${arg%-*}" "${arg#*-}"
done | xargs -r -P "${SOAK_JOBS:-3}" -L 1 bash -c 'run_seed "$0"' |
	tee build/soak.log
print_report
passed=$(grep -c '^PASS ' build/soak.log)
failed=$(grep -c '^FAIL ' build/soak.log)
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
