#!/usr/bin/env bash
# Usage: soak/guards-off.sh BUILD-DIR [GUARD...]
# Takes one guard out at a time and runs the soak until it fails, on up to
# SOAK_SEEDS seeds: shows that the soak notices each of these promises broken.
# The build must have PROOF_SWITCHES.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=$1
shift
[ $# -gt 0 ] || set -- grant_check lost_wait release send_once
failed=0

for guard in "$@"; do
	seen=
	for seed in $(seq 1 "${SOAK_SEEDS:-6}"); do
		line=$(MPIN_GUARDS_OFF=$guard soak/run.sh "$bin" "$seed" |
			grep '^FAIL.*VIOLATION') || continue
		seen="seed $seed: ${line#*VIOLATION }"
		break
	done
	echo "without $guard: ${seen:-no violation}"
	[ -n "$seen" ] || failed=$((failed + 1))
done
echo "$(($# - failed)) passed, $failed failed"
[ $failed -eq 0 ]
