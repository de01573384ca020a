#!/usr/bin/env bash
# Usage: test/runs.sh BUILD-DIR [NAME...]
# Runs each script test/run/NAME.sh (by default all but some proofs) and
# compares its output with test/run/NAME.exp. The environment gives each run a
# scratch directory (WORK), the programs (BIN) and 200 free ports from PORT on.
# Prints PASS, FAIL or KNOWN RED for each.
set -u
cd "$(dirname "$0")/.." || exit 1
export BIN=$1
shift
names=("$@")
# The proofs that run by default and in "make check"; "make proofs" runs all.
CHECK_PROOFS="proof-owner-frozen proof-store-down proof-answers
	proof-at-most-once proof-planned-stop proof-document proof-recovery"
CHECK_PROOFS=$(echo $CHECK_PROOFS)
if [ ${#names[@]} -eq 0 ]; then
	for f in test/run/*.sh; do
		name=$(basename "$f" .sh)
		[ -f "${f%.sh}.exp" ] || continue
		case $name in
		proof-*) [[ " $CHECK_PROOFS " = *" $name "* ]] || continue ;;
		esac
		names+=("$name")
	done
fi

run_script() {
	name=$1
	if [ -f KNOWN-RED.txt ] && grep -q "^$name " KNOWN-RED.txt; then
		echo "KNOWN RED $name"
		return
	fi
	. test/ports.sh && take_ports || return
	WORK=$(mktemp -d)
	export WORK
	timeout 120 bash "test/run/$name.sh" >"$WORK/out" 2>"$WORK/err"
	if diff -u "test/run/$name.exp" "$WORK/out" >"$WORK/diff"; then
		echo "PASS $name"
		rm -rf "$WORK"
	else
		echo "FAIL $name"
		head -n 40 "$WORK/diff"
		tail -n 20 "$WORK/err"
		echo "kept: $name output in a scratch directory"
	fi
}
export -f run_script

printf '%s\n' "${names[@]}" | xargs -r -P 4 -L 1 bash -c 'run_script "$0"'
