#!/bin/sh
# build-2.sh: what the cases 4 to 8 need besides the build of the deploy file. Their
# stand-ins, and the project's own that they use (fakes/standins.py), are Python and
# need no build; this checks that they can be compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 7)'
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for f in fakes/standins.py review/rig2.py review/[4-8]/*.py; do
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' "$f" "$out/x.pyc"
done
