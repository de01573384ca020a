# Guards against a fleet that stays without a coordinator, or whose daemons end,
# after another writer has replaced the coordinator's record.
. test/run/lib-platform.sh

start_platform_fleet
put_config "$config"
wait_for 10 "all keys served" all_keys_served 0
echo "served before"

put_record() { # put_record TEXT
	printf '%s' "$1" | curl -s -o /dev/null --data-binary @- \
		"http://127.0.0.1:$KV/control/put?key=/mpin/coord"
}

count_terms() {
	cat "$WORK"/n*.log | grep -c 'event=coordinator_active'
}

# replace NAME TEXT: replaces the record; prints whether another coordinator
# takes office and all keys are served then.
replace() {
	local before
	before=$(count_terms)
	put_record "$2"
	has_new_term() {
		[ "$(count_terms)" -gt "$before" ]
	}
	wait_for 15 "a coordinator after $1" has_new_term
	wait_for 15 "all keys served after $1" all_keys_served 0
	echo "$1: another coordinator, served"
}

record() { # record TERM ADDRESS PORT
	printf '{"term":%s,"node":"n9","incarnation":"1","address":"%s",' \
		"$1" "$2"
	printf '"peer_port":%s,"admin_port":1}' "$3"
}

replace "no JSON" "x"
replace "nested deeply" "$(printf '%5000s' '' | tr ' ' '[')"
replace "number too large" "$(record 1e999 127.0.0.1 9)"
replace "last term" "$(record 9223372036854775807 127.0.0.1 9)"
replace "no address" "$(record 4611686018427387900 nowhere 9)"
replace "port out of range" "$(record 4611686018427387900 127.0.0.1 70000)"
for i in 0 1 2; do
	is_ready $i && echo "daemon $i ready"
done
