#!/bin/sh
# Checks that the stand-ins and scripts of the cases compile; they need
# nothing beyond Python's standard library.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
PYTHON
