# Guards against a target that says in its answers that it is leaving and still
# gets requests after the drain time, because its announcements do not say so.
. test/run/lib-platform.sh

start_platform_fleet
put_config "$config"
wait_for 10 "readiness" is_ready 1
wait_for 15 "all keys" all_keys_served 1

count_runs() { # count_runs I: requests that server I has run
	grep -c '^run' "$WORK/s$1.log"
}

target_runs_requests() {
	local before
	before=$(count_runs 0)
	all_keys_served 1 && [ "$(count_runs 0)" -gt "$before" ]
}
wait_for 15 "requests to the target" target_runs_requests
wait_for 15 "the end of the moves" map_is_settled
echo "the target runs requests"
send_signal s0 USR2
all_keys_served 1
# The drain time.
sleep 2
before=$(count_runs 0)
wait_for 15 "all keys at the other target" all_keys_served 1
for _ in 1 2 3; do
	all_keys_served 2 || echo "not served"
done
echo "all keys served"
echo "requests after the drain time: $(($(count_runs 0) - before))"
