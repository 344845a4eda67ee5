#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10. They are scripts of the standard library: nothing is built.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig2/*.py [6-9]/*.py 10/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "the stand-ins of the scripts can be run"
