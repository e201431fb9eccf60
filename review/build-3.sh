#!/usr/bin/env bash
# Prepares the stand-ins of the third review, which are Python 3 programs without dependencies:
# checks the interpreter and compiles them. The router is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in [pathlib.Path("rig_3.py"), *sorted(pathlib.Path(".").glob("1[1-5]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PYTHON
