#!/usr/bin/env bash
# Two answers of one server come in one-byte chunks without end. 1: the rule was broken, 0: it held.
exec python3 "$(dirname "$0")/case.py"
