# Guards against a store stand-in or relay that does not start, does not fail
# as commanded, or counts wrongly. Requests reach the store through the relay.
store=$PORT
control=$((PORT + 1))
relay=$((PORT + 2))
pids=()
trap 'kill "${pids[@]}" 2>/dev/null' EXIT

send_request() { # send_request PORT METHOD PATH [BODY]: prints status, body
	local body=${4:-} answer
	exec 3<>"/dev/tcp/127.0.0.1/$1"
	printf '%s %s HTTP/1.1\r\nHost: test\r\nConnection: close\r\n' \
		"$2" "$3" >&3
	printf 'Content-Length: %d\r\n\r\n%s' ${#body} "$body" >&3
	answer=$(timeout 2 cat <&3 2>/dev/null | tr -d '\r')
	exec 3<&- 3>&-
	echo "$(head -n 1 <<<"$answer" | cut -d ' ' -f 2) ${answer##*$'\n'}"
}

start_stand_in() { # start_stand_in NAME ARGUMENTS: waits for the line "ready"
	"$BIN/$1" "${@:2}" >"$WORK/$1.out" &
	pids+=($!)
	for _ in $(seq 100); do
		grep -q ^ready "$WORK/$1.out" && return
		sleep 0.05
	done
	echo "$1 is not ready"
	exit 1
}

create_key() { # create_key KEY: puts a key that must not exist yet
	send_request "$relay" POST /v3/kv/txn '{"compare":[{"key":"'"$1"'",
		"target":"MOD","result":"EQUAL","mod_revision":"0"}],
		"success":[{"request_put":{"key":"'"$1"'","value":"eA=="}}]}'
}

echo "no port: $("$BIN/mpin-store" 2>&1 | head -n 1)"
echo "not loopback: $("$BIN/mpin-relay" --control "$control" \
	--forward "$relay:10.0.0.1:1" 2>&1 | sed "s/$relay/PORT/")"
start_stand_in mpin-store --port "$store" --seed 7
start_stand_in mpin-relay --control "$control" \
	--forward "$relay:127.0.0.1:$store"

echo "create: $(create_key YQ==)"
echo "again: $(create_key YQ==)"
send_request "$store" POST "/control/lose-answers?count=1"
echo "answer lost: $(create_key Yg==)"
echo "again: $(create_key Yg==)"
send_request "$control" POST "/cut?listen=$relay&after_bytes=20"
echo "answer cut: $(create_key Yw==)"
send_request "$control" POST "/set?listen=$relay&mode=drop"
echo "relay drops: $(create_key ZA==)"
send_request "$control" POST "/set?listen=$relay&mode=pass"
send_request "$store" POST "/control/down?mode=refuse"
echo "store refuses: $(create_key ZQ==)"
send_request "$store" POST "/control/up"
send_request "$store" POST "/control/stop"
send_request "$relay" POST /v3/kv/range '{"key":"YQ==","range_end":"Yg=="}'
send_request "$relay" POST /v3/lease/grant '{"TTL":"1"}' | sed 's/"ID":"[0-9]*"/ID/'
send_request "$relay" POST /v3/lease/keepalive '{"ID":"1"}'
send_request "$store" GET /control/counts | tr '}' '\n' | grep -o '"[a-z_]*":{"calls":[0-9]*,"keys":[0-9]*'
send_request "$control" GET /counts | grep -o '"cuts":[0-9]*'

kill "${pids[@]}"
wait "${pids[0]}"
echo "store exits $?"
wait "${pids[1]}"
echo "relay exits $?"
