#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the program of the deploy file. All of their
# stand-ins are Python scripts that use the standard library only, so nothing has to be
# compiled: this checks that the interpreter can read them.
set -eu
cd "$(dirname "$0")"
python3 -B - rig_2.py [6-9]/case.py 10/case.py <<'PYTHON'
import ast, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PYTHON
