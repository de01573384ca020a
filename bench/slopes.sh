#!/usr/bin/env bash
# Usage: bench/slopes.sh BUILD-DIR
#
# Measures the resources that a node and a coordinator use, by the number of
# nodes and of shards, with daemons and the store stand-in on loopback. Prints a
# table and linear fits. Ends after ten minutes at the latest. PORT is the first
# of 5,000 free ports.
set -u
cd "$(dirname "$0")/.." || exit 1
exec python3 bench/slopes.py --bin "$1" --port "${PORT:-24000}"
