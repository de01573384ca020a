#!/usr/bin/env bash
# Exits with 1 if DRAIN is broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the kill of the node.
exec timeout -k 3 118 python3 "$(dirname "$0")/case.py"
