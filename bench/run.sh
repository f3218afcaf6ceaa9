#!/usr/bin/env bash
# run.sh: runs all benchmarks, prints JSON lines and rewrites the measured part of
# docs/CAPACITY.md. Usage: bench/run.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
"$1/bench/bench_slopes" 2>/dev/null | tee "$out"
python3 bench/members.py "$1" | tee -a "$out"
python3 bench/capacity.py "$out" docs/CAPACITY.md
"$1/bench/bench_budget"
"$1/bench/bench_route"
python3 bench/path.py "$1"
python3 bench/bookings.py "$1"
