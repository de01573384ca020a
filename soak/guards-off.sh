#!/usr/bin/env bash
# Usage: soak/guards-off.sh BUILD-DIR [GUARD...]
# Switches off one guard (safety mechanism) at a time and runs the soak test
# until it finds a violation, on up to SOAK_SEEDS seeds. Shows that the soak
# test detects the violations that each guard prevents. The build must have
# PROOF_SWITCHES.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=$1
shift
[ $# -gt 0 ] || set -- grant_check lost_wait release send_once
failed=0

for guard in "$@"; do
	violation=
	for seed in $(seq 1 "${SOAK_SEEDS:-6}"); do
		line=$(MPIN_GUARDS_OFF=$guard soak/run.sh "$bin" "$seed" |
			grep '^FAIL.*VIOLATION') || continue
		violation="seed $seed: ${line#*VIOLATION }"
		break
	done
	echo "without $guard: ${violation:-no violation}"
	[ -n "$violation" ] || failed=$((failed + 1))
done
echo "$(($# - failed)) passed, $failed failed"
[ $failed -eq 0 ]
