#!/bin/sh
# With TROUBLE=0, does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 -B "$(dirname "$0")/case.py"
