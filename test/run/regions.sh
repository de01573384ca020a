# Guards against requests that leave the regions of their route, and keys that
# are owned where no route may go, in a fleet of three regions whose document
# changes.
. test/lib.sh

add_node a Sur sur-1 r1 kiln
add_node b Muscat muscat-1 r1 kiln
add_node c Sohar sohar-1 r1 kiln
add_node d Sur sur-2 r1 desk
add_node e Muscat muscat-2 r1 desk

# write_routes FILE REGIONS-OF-KILN REGIONS-OF-DESK
write_routes() {
	cat >"$1" <<-END
		{"version": 1,
		 "services": {
		  "kiln": {"route": {"key": "header:X-Key"}, "shards": 32},
		  "desk": {"keyed": false}},
		 "routes": {
		  "k": {"prefix": "/k/", "regions": [$2],
		        "to": [{"service": "kiln"}]},
		  "d": {"prefix": "/d/", "regions": [$3],
		        "to": [{"service": "desk"}]}}}
	END
}

# ask PATH: sends 20 requests to a and prints status, owner and error, each
# combination once.
ask() {
	local i
	for i in $(seq 20); do
		curl -s -m 5 -D "$WORK/head" -o "$WORK/body" -H "X-Key: $i" \
			"http://127.0.0.1:$(http_port a)$1"
		tr -d '\r' <"$WORK/head" | sed -n -e 's/^HTTP.1.1 \([0-9]*\).*/\1/p' \
			-e 's/^Monsoonpin-Owner: /owner /p' | tr '\n' ' '
		grep -o '^not-run [a-z_]*$' "$WORK/body" || echo
	done | sed 's/ *$//' | sort -u
}

owns_all() { # owns_all NODE
	[ "$(count_slots "$1")" = 32 ]
}

start_store
start_nodes --service-ms 2
wait_live 30
write_routes "$WORK/1.json" '"Muscat", "Sohar"' '"Muscat"'
apply "$WORK/1.json" >"$WORK/apply.log" || fail "apply"
wait_owned 10
echo "slots of a: $(count_slots a)"
ask /d/x
write_routes "$WORK/2.json" '"Sur"' '"Sohar"'
apply "$WORK/2.json" >"$WORK/apply.log" || fail "apply"
ask /d/x
wait_for 20 "the move of all keys" owns_all a
ask /k/x
grep -ho 'event=region_refused' "$WORK/daemon-a.log" | sort -u
grep -ho 'event=owner_regions service=kiln regions=[A-Za-z,"]*' \
	"$WORK"/*.log | sort -u
