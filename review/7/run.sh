#!/usr/bin/env bash
# The operator takes away the keys of the last tenant. 1: the rule was broken, 0: it held.
exec python3 "$(dirname "$0")/case.py"
