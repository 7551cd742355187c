#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. With TROUBLE=0 there is no disruption.
exec timeout --kill-after=2 115 python3 -B "$(dirname "$0")/case.py"
