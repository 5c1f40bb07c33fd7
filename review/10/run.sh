#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 does the same without the disruption, which must
# pass; `lab_2/lab.py` reads it.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 -B case.py
