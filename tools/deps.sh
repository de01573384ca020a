#!/bin/sh
# Installs the Debian packages that the build, the linters and the tests need.
# Does nothing if all are installed; needs root only if one is missing.
set -eu

PACKAGES="gcc g++ make pkg-config git curl python3
	libev-dev libprotobuf-c-dev libhttp-parser-dev libcurl4-openssl-dev
	libglib2.0-dev libjansson-dev libxxhash-dev uthash-dev
	libtomlplusplus-dev zlib1g-dev clang clang-format clang-tidy libclang-rt-14-dev
	cppcheck valgrind"

missing=
for p in $PACKAGES; do
	dpkg-query -W -f='${Status}\n' "$p" 2>/dev/null |
		grep -q '^install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
