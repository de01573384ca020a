#!/bin/sh
# Exits with 1 if OWNER is broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the upstreams well.
command -v python3 >/dev/null || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
