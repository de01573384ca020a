#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of review/ start, beside the
# daemon that the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 B=target target/mpind target/mpin-kvstore
command -v python3 >/dev/null || {
	echo "python3 is missing" >&2
	exit 1
}
