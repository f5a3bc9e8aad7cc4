#!/usr/bin/env bash
# Shows the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
