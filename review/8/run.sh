#!/usr/bin/env bash
# A key passes to another tenant while streams run that are taken up again. 1: broken, 0: held.
exec python3 "$(dirname "$0")/case.py"
