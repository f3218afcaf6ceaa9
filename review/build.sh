#!/bin/sh
# build.sh: checks the stand-ins of the cases. They are Python programs of the
# standard library alone, the project's own store of fakes/standins.py among
# them, so nothing has to be compiled.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import glob
for path in ["fakes/standins.py"] + glob.glob("review/*.py") + glob.glob("review/*/*.py"):
    with open(path) as f:
        compile(f.read(), path, "exec")
CHECK
