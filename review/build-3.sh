#!/bin/sh
# Builds the stand-ins that the scripts of scripts start. target/mpind
# comes from the deploy file's own build. The upstreams and consumers are Python
# scripts in review/kit-3 and need no build.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/rel/mpin-kvstore
