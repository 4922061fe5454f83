#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=TERM --kill-after=5 115 python3 -B case.py
