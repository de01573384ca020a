# Sourced by bash. take_ports reserves 200 ports and sets PORT to the first. A
# lock file keeps other runs on this machine off them until the process ends.
# shellcheck shell=bash

take_ports() {
	local n
	for n in $(seq 0 99); do
		exec {ports_fd}>"/tmp/mpin-ports-$n.lock"
		if flock -n "$ports_fd"; then
			export PORT=$((10000 + n * 200))
			return 0
		fi
		exec {ports_fd}>&-
	done
	echo "no free ports" >&2
	return 1
}
