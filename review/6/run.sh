#!/usr/bin/env bash
# One answer of one engine is lines that are no event, without end. 1: the rule was broken, 0: it held.
exec python3 "$(dirname "$0")/case.py"
