# Functions for the scripted runs of mpinctl: a store stand-in and documents.
export MPIN_STORE=http://127.0.0.1:$PORT
export USER=ada
cd "$WORK" || exit 1

start_store() {
	"$BIN/mpin-store" --port "$PORT" >store.log 2>&1 &
	store=$!
	trap 'kill $store' EXIT
	for _ in $(seq 100); do
		grep -q ready store.log && return
		sleep 0.05
	done
	echo "store not ready"
	exit 1
}

control() { # control PATH: sends a command to the store stand-in
	exec 3<>"/dev/tcp/127.0.0.1/$PORT"
	printf 'POST /control/%s HTTP/1.1\r\nHost: s\r\n' "$1" >&3
	printf 'Content-Length: 0\r\nConnection: close\r\n\r\n' >&3
	cat <&3 >/dev/null
	exec 3<&-
}

ctl() { # mpinctl and its exit status; times and attempts are replaced
	"$BIN/mpinctl" "$@" >out.txt 2>&1
	rc=$?
	sed -E -e 's/20[0-9-]{8}T[0-9:]{8}Z/TIME/g' \
		-e 's/ctl-[0-9a-f]{16}-/ctl-ID-/g' \
		-e "s/127.0.0.1:$PORT/ADDRESS/g" out.txt
	echo "exit $rc"
}

document() { # document SHARDS [NODE]: one service, and a stop of NODE if given
	stops=
	[ $# -gt 1 ] && stops="{\"node\": \"$2\", \"state\": \"drain\"}"
	cat <<JSON
{"version": 1,
 "services": {"kiln": {"route": {"prefix": "/kiln/"}, "shards": $1}},
 "stops": [$stops]}
JSON
}
