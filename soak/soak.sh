# One soak test with random faults. Runs daemons, targets, a store stand-in and
# a load generator as processes and injects faults from outside, in an order
# that the seed determines. The checker verifies the guarantees from what the
# callers and targets recorded, both during the run and at the end. Run by
# soak/run.sh, which sets BIN, WORK and PORT.
# shellcheck shell=bash
: "${SOAK_SEED:?}" "${SOAK_SECONDS:=20}"
. test/run/lib-proof.sh

# The only source of random numbers, so that a seed determines the faults.
RANDOM=$SOAK_SEED
NODES=6
declare -A fault_end_ms=() # FAULT:NODE -> wall-clock ms at which it ends
declare -A fault_counts=() # FAULT -> number of injections
killed=()                  # options of the checker for killed targets

pick_number() { # pick_number N: sets picked, 0 to N-1
	picked=$((RANDOM % $1))
}

pick_ms() { # pick_ms MIN MAX: sets picked, below MAX
	picked=$(($1 + RANDOM % ($2 - $1)))
}

set_hold_limits() { # limits the length of holds on odd seeds
	local node
	[ $((SOAK_SEED % 2)) = 1 ] || return 0
	for node in "${node_names[@]}"; do
		printf '[ownership]\nhold_ms = 3000\n' >>"$WORK/$node.toml"
	done
}

target_options=(--concurrency 20 --connections 60 --service-ms 5
	--checks "fence,deadline,sender")

# Stops the target first, so that its requests have ended before any process
# can notice its death: the time given to the checker has steps of 10 ms.
kill_target() {
	send_signal "target-$1" STOP
	killed+=(--killed "$1=$(now_ns_rounded_up)")
	sleep 0.03
	kill_processes "target-$1"
}

set_stutter() { # set_stutter NODE PERCENT
	curl -sf -m 5 "http://127.0.0.1:$(target_port "$1")/control/stutter?percent=$2" \
		>"$WORK/stutter-$1" || fail "the control of target $1"
}

# Each fault has begin_NAME NODE and end_NAME NODE.
begin_kill() { kill_processes "daemon-$1"; }
end_kill() { start_daemon "$1"; }
begin_stop() { send_signal "daemon-$1" TERM; }
end_stop() {
	# A node needs the store and the coordinator to leave. They may have
	# faults too at this time, so this fault is looked at again later.
	if is_running "daemon-$1"; then
		fault_end_ms[stop:$1]=$(($(wall_ms) + 200))
		return
	fi
	{ wait "${process_ids[daemon-$1]}"; } 2>/dev/null
	start_daemon "$1"
}
begin_freeze() { freeze "daemon-$1"; }
end_freeze() { resume "daemon-$1"; }
begin_target() { kill_target "$1"; }
end_target() { start_target "$1" "${target_options[@]}"; }
begin_slow_target() { freeze "target-$1"; }
end_slow_target() { resume "target-$1"; }
# The target writes every third answer twice or behind a part of another one.
begin_stutter() { set_stutter "$1" 33; }
end_stutter() { set_stutter "$1" 0; }
begin_cut() { set_relay "$1" "mode=silent"; }
end_cut() { set_relay "$1" "mode=pass"; }
begin_reset() { set_relay "$1" "mode=reset&scope=existing"; }
end_reset() { set_relay "$1" "mode=pass"; }
# The open connections go silent for good; new ones, and datagrams from new
# ports, pass.
begin_silent() { set_relay "$1" "mode=silent&scope=existing"; }
end_silent() { set_relay "$1" "mode=pass&scope=new"; }
begin_delay() { set_relay "$1" "mode=delay&ms=120"; }
end_delay() { set_relay "$1" "mode=pass"; }
begin_drain() { ctl drain "$1" --wait-s 0 >/dev/null 2>&1 || :; }
end_drain() { ctl undrain "$1" --wait-s 0 >/dev/null 2>&1 || :; }
begin_hup() { send_signal "daemon-$1" HUP || :; }
end_hup() { :; }
# These concern the whole fleet; their NODE is "store" or "all".
begin_store_down() { control_store "down?mode=refuse"; }
end_store_down() { control_store "up"; }
begin_store_silent() { control_store "down?mode=silent"; }
end_store_silent() { control_store "up"; }
begin_store_slow() { control_store "slow?ms=300"; }
end_store_slow() { control_store "slow?ms=0"; }
begin_store_lossy() { control_store "lose-answers?count=5"; }
end_store_lossy() { control_store "lose-answers?count=0"; }
begin_store_freeze() { control_store "freeze?ms=900"; }
end_store_freeze() { :; }
begin_store_compact() { control_store "compact"; }
end_store_compact() { :; }
# The store comes back from a copy that was taken when the fault began. Its NODE
# is "copy", so that it overlaps with the other faults, those of the store too.
begin_store_restore() { control_store "copy"; }
end_store_restore() { control_store "restore"; }
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
# Seeds below 300 draw what they drew before there was this fault.
[ "$SOAK_SEED" -ge 300 ] && NODE_FAULTS+=(silent silent)
# Seeds below 500 draw what they drew before there was this fault.
[ "$SOAK_SEED" -ge 500 ] && NODE_FAULTS+=(stutter stutter)
FLEET_FAULTS=(store_down store_down store_silent store_slow store_lossy
	store_freeze store_compact all)
# Seeds below 400 draw what they drew before there was this fault.
[ "$SOAK_SEED" -ge 400 ] && FLEET_FAULTS+=(store_restore store_restore)

concerns_store() { # concerns_store NODE
	[ "$1" = store ] || [ "$1" = copy ]
}

# may_inject NODE: true if NODE (or "store", "copy") has no active fault. The
# fault "all" and faults of single nodes exclude each other.
may_inject() {
	local key
	for key in "${!fault_end_ms[@]}"; do
		[ "${key#*:}" = "$1" ] && return 1
		[ "${key%:*}" = all ] && ! concerns_store "$1" && return 1
		[ "$1" = all ] && ! concerns_store "${key#*:}" && return 1
	done
	return 0
}

inject_fault() {
	local fault node
	pick_number 4
	if [ "$picked" = 0 ]; then
		pick_number ${#FLEET_FAULTS[@]}
		fault=${FLEET_FAULTS[picked]}
		node=store
		[ "$fault" = all ] && node=all
		[ "$fault" = store_restore ] && node=copy
	else
		pick_number ${#NODE_FAULTS[@]}
		fault=${NODE_FAULTS[picked]}
		pick_number $NODES
		node=${node_names[picked]}
	fi
	pick_ms 200 3000
	# A copy of less than a second ago seldom lacks a move.
	[ "$node" = copy ] && picked=$((picked + 1500))
	may_inject "$node" || return 0
	fault_end_ms[$fault:$node]=$(($(wall_ms) + picked))
	fault_counts[$fault]=$((${fault_counts[$fault]:-0} + 1))
	echo "$(wall_ms) $fault $node $picked ms" >&2
	"begin_$fault" "$node"
}

end_due_faults() { # end_due_faults NOW: ends the faults whose time is over
	local key
	for key in "${!fault_end_ms[@]}"; do
		[ "${fault_end_ms[$key]}" -le "$1" ] || continue
		unset "fault_end_ms[$key]"
		"end_${key%:*}" "${key#*:}"
	done
}

# has_verdict FILE: true if the checker ran to its end. One that stops early
# reports no violations either.
has_verdict() {
	grep -q '^served [0-9]' "$1"
}

# copy_whole_lines FILE: copies it without a last line that is half written.
copy_whole_lines() {
	local copy
	copy=$WORK/now/$(basename "$1")
	cp "$1" "$copy"
	[ -z "$(tail -c 1 "$copy")" ] || sed -i '$d' "$copy"
}

# Runs the checker on the present logs; false if it finds a violation. Copies
# the callers' log first, so that every run that a caller knows of is also in
# the copies of the targets' logs.
check_logs_so_far() {
	local file args=()
	mkdir -p "$WORK/now"
	for file in "$WORK"/load.history "$WORK"/*.runs; do
		copy_whole_lines "$file"
	done
	for file in "${node_names[@]}"; do
		args+=(--target "$file=$WORK/now/$file.runs")
	done
	"$BIN/mpin-check" --history "$WORK/now/load.history" "${args[@]}" \
		"${killed[@]}" --wait-ms 600000 >"$WORK/now/verdict.txt" 2>&1
	has_verdict "$WORK/now/verdict.txt" ||
		fail "the checker gave no verdict while it ran"
	# The load generator writes its history in blocks: a request that it has
	# not written yet seems unknown, and not idempotent. The check at the end
	# has the whole history.
	awk 'NR == FNR {
		if (match($0, /"request":"[^"]*"/))
			sent[substr($0, RSTART + 11, RLENGTH - 12)] = 1
		next
	}
	/^VIOLATION/ {
		id = $4
		sub(/:$/, "", id)
		if ($3 != "request" || id in sent)
			print
	}' "$WORK/now/load.history" "$WORK/now/verdict.txt" \
		>"$WORK/now/violations.txt"
	[ ! -s "$WORK/now/violations.txt" ]
}

add_proof_nodes $NODES
set_hold_limits
start_relay
start_store
start_nodes "${target_options[@]}"
wait_announced
apply_proof_document
wait_owned 30
start_proof_load "$((SOAK_SECONDS + 8))"
end=$(($(wall_ms) + SOAK_SECONDS * 1000))
next_check=$(($(wall_ms) + 5000))
while now=$(wall_ms) && [ "$now" -lt "$end" ]; do
	end_due_faults "$now"
	inject_fault
	if [ "$now" -ge "$next_check" ]; then
		check_logs_so_far || {
			head -n 3 "$WORK/now/violations.txt"
			fail "a promise was broken while it ran"
		}
		next_check=$(($(wall_ms) + 5000))
	fi
	pick_ms 50 700
	sleep "$(printf '0.%03d' "$picked")"
done
faults_ended_ms=$(wall_ms)
all_faults_ended() {
	end_due_faults $((faults_ended_ms + 3600000))
	[ ${#fault_end_ms[@]} -eq 0 ]
}
wait_for 30 "end of all faults" all_faults_ended
wait_owned 30
echo "served again after $(($(wall_ms) - faults_ended_ms)) ms"
wait_proof_load_end
for fault in "${!fault_counts[@]}"; do
	echo "fault $fault ${fault_counts[$fault]}"
done | sort
run_checker "${killed[@]}" --wait-ms 600000 >"$WORK/verdict.txt" 2>&1
grep -E '^(served|requests by outcome|VIOLATION|violations)' \
	"$WORK/verdict.txt"
has_verdict "$WORK/verdict.txt" || fail "the checker gave no verdict"
! grep -q '^VIOLATION' "$WORK/verdict.txt" || fail "a promise was broken"
echo "seed $SOAK_SEED: holds"
