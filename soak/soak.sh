# One fault soak: real daemons, targets and a store as processes of their own,
# faults from outside in an order that the seed decides, callers throughout,
# and the promises checked from what callers and targets saw: while it runs,
# and at the end. Run by soak/run.sh, which sets BIN, WORK and PORT.
# shellcheck shell=bash
: "${SOAK_SEED:?}" "${SOAK_SECONDS:=20}"
. test/run/lib-proof.sh

# All randomness comes from here, so that a seed names the order of faults.
RANDOM=$SOAK_SEED
NODES=6
declare -A ends=()      # FAULT:NODE -> wall ms at which it ends
declare -A injected=()  # FAULT -> how often
killed=()               # options of the checker

pick() { # pick N: 0 to N-1, in $picked
	picked=$((RANDOM % $1))
}

pick_ms() { # pick_ms LEAST MOST
	picked=$(($1 + RANDOM % ($2 - $1)))
}

set_holds() { # holds of limited length on odd seeds
	local node
	[ $((SOAK_SEED % 2)) = 1 ] || return 0
	for node in "${node_names[@]}"; do
		printf '[ownership]\nhold_ms = 3000\n' >>"$WORK/$node.toml"
	done
}

target_options=(--concurrency 20 --connections 60 --service-ms 5
	--checks "fence,deadline,sender")

# What the target ran is over before anybody can notice its death: the clock
# that the checker is told has steps of 10 ms.
kill_target() {
	send_signal "target-$1" STOP
	killed+=(--killed "$1=$(after_ns)")
	sleep 0.03
	kill_hard "target-$1"
}

# Each fault has begin_NAME NODE and end_NAME NODE.
begin_kill() { kill_hard "daemon-$1"; }
end_kill() { start_daemon "$1"; }
begin_stop() { send_signal "daemon-$1" TERM; }
end_stop() {
	# A node leaves by way of store and coordinator, which may be in a fault
	# of their own now: looked at again after those have ended.
	if is_running "daemon-$1"; then
		ends[stop:$1]=$(($(wall_ms) + 200))
		return
	fi
	{ wait "${lib_pids[daemon-$1]}"; } 2>/dev/null
	start_daemon "$1"
}
begin_freeze() { freeze "daemon-$1"; }
end_freeze() { resume "daemon-$1"; }
begin_target() { kill_target "$1"; }
end_target() { start_target "$1" "${target_options[@]}"; }
begin_slow_target() { freeze "target-$1"; }
end_slow_target() { resume "target-$1"; }
begin_cut() { relay_set "$1" "mode=silent"; }
end_cut() { relay_set "$1" "mode=pass"; }
begin_reset() { relay_set "$1" "mode=reset&scope=existing"; }
end_reset() { relay_set "$1" "mode=pass"; }
begin_delay() { relay_set "$1" "mode=delay&ms=120"; }
end_delay() { relay_set "$1" "mode=pass"; }
begin_drain() { ctl drain "$1" --wait-s 0 >/dev/null 2>&1 || :; }
end_drain() { ctl undrain "$1" --wait-s 0 >/dev/null 2>&1 || :; }
begin_hup() { send_signal "daemon-$1" HUP || :; }
end_hup() { :; }
# For the whole fleet; the node says only which.
begin_store_down() { store_control "down?mode=refuse"; }
end_store_down() { store_control "up"; }
begin_store_silent() { store_control "down?mode=silent"; }
end_store_silent() { store_control "up"; }
begin_store_slow() { store_control "slow?ms=300"; }
end_store_slow() { store_control "slow?ms=0"; }
begin_store_lossy() { store_control "lose-answers?count=5"; }
end_store_lossy() { store_control "lose-answers?count=0"; }
begin_store_freeze() { store_control "freeze?ms=900"; }
end_store_freeze() { :; }
begin_store_compact() { store_control "compact"; }
end_store_compact() { :; }
begin_all() { # all daemons at once
	local node
	for node in "${node_names[@]}"; do
		is_running "daemon-$node" && begin_kill "$node"
	done
}
end_all() {
	local node
	for node in "${node_names[@]}"; do
		is_running "daemon-$node" || start_daemon "$node"
	done
}

NODE_FAULTS=(kill kill stop freeze freeze target slow_target cut cut reset
	delay drain hup)
FLEET_FAULTS=(store_down store_down store_silent store_slow store_lossy
	store_freeze store_compact all)

# Faults of one process exclude each other, and a fleet's its own kind.
is_free() { # is_free NODE
	local key
	for key in "${!ends[@]}"; do
		[ "${key#*:}" = "$1" ] && return 1
		[ "${key%:*}" = all ] && [ "$1" != store ] && return 1
		[ "$1" = all ] && [ "${key#*:}" != store ] && return 1
	done
	return 0
}

inject() {
	local fault node
	pick 4
	if [ "$picked" = 0 ]; then
		pick ${#FLEET_FAULTS[@]}
		fault=${FLEET_FAULTS[picked]}
		node=store
		[ "$fault" = all ] && node=all
	else
		pick ${#NODE_FAULTS[@]}
		fault=${NODE_FAULTS[picked]}
		pick $NODES
		node=${node_names[picked]}
	fi
	pick_ms 200 3000
	is_free "$node" || return 0
	ends[$fault:$node]=$(($(wall_ms) + picked))
	injected[$fault]=$((${injected[$fault]:-0} + 1))
	echo "$(wall_ms) $fault $node $picked ms" >&2
	"begin_$fault" "$node"
}

heal() { # heal NOW: ends what is due
	local key
	for key in "${!ends[@]}"; do
		[ "${ends[$key]}" -le "$1" ] || continue
		unset "ends[$key]"
		"end_${key%:*}" "${key#*:}"
	done
}

# has_verdict FILE: a checker that stops early finds no violation either.
has_verdict() {
	grep -q '^served [0-9]' "$1"
}

# copy_lines FILE: whole lines only; the last one may be half written.
copy_lines() {
	local copy
	copy=$WORK/now/$(basename "$1")
	cp "$1" "$copy"
	[ -z "$(tail -c 1 "$copy")" ] || sed -i '$d' "$copy"
}

# What is in the logs now. The callers' come first: a run that they heard of is
# then in the targets' logs.
check_now() {
	local file args=()
	mkdir -p "$WORK/now"
	for file in "$WORK"/load.history "$WORK"/*.runs; do
		copy_lines "$file"
	done
	for file in "${node_names[@]}"; do
		args+=(--target "$file=$WORK/now/$file.runs")
	done
	"$BIN/mpin-check" --history "$WORK/now/load.history" "${args[@]}" \
		"${killed[@]}" --wait-ms 600000 >"$WORK/now/verdict.txt" 2>&1
	has_verdict "$WORK/now/verdict.txt" ||
		fail "the checker gave no verdict while it ran"
	# The callers write their history in blocks.
	grep '^VIOLATION' "$WORK/now/verdict.txt" |
		grep -v known-request >"$WORK/now/violations.txt"
	[ ! -s "$WORK/now/violations.txt" ]
}

proof_nodes $NODES
set_holds
proof_relay
start_store
start_nodes "${target_options[@]}"
wait_announced
proof_document
wait_owned 30
proof_load "$((SOAK_SECONDS + 8))"
end=$(($(wall_ms) + SOAK_SECONDS * 1000))
next_check=$(($(wall_ms) + 5000))
while now=$(wall_ms) && [ "$now" -lt "$end" ]; do
	heal "$now"
	inject
	if [ "$now" -ge "$next_check" ]; then
		check_now || {
			head -n 3 "$WORK/now/violations.txt"
			fail "a promise was broken while it ran"
		}
		next_check=$(($(wall_ms) + 5000))
	fi
	pick_ms 50 700
	sleep "$(printf '0.%03d' "$picked")"
done
healed=$(wall_ms)
all_healed() {
	heal $((healed + 3600000))
	[ ${#ends[@]} -eq 0 ]
}
wait_for 30 "end of all faults" all_healed
wait_owned 30
echo "served again after $(($(wall_ms) - healed)) ms"
proof_load_end
for fault in "${!injected[@]}"; do
	echo "fault $fault ${injected[$fault]}"
done | sort
check_runs "${killed[@]}" --wait-ms 600000 >"$WORK/verdict.txt" 2>&1
grep -E '^(served|requests by outcome|VIOLATION|violations)' \
	"$WORK/verdict.txt"
has_verdict "$WORK/verdict.txt" || fail "the checker gave no verdict"
! grep -q '^VIOLATION' "$WORK/verdict.txt" || fail "a promise was broken"
echo "seed $SOAK_SEED: holds"
