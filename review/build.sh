#!/usr/bin/env bash
# The stand-ins of all cases are in rig.py and case.py and need only Python's standard library,
# so nothing is built. Checks that Python is there and reads them.
cd "$(dirname "$0")" || exit 1
python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text())
'
