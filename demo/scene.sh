#!/usr/bin/env bash
# scene.sh: runs the whole system on loopback, as separate processes.
# Usage: demo/scene.sh BUILD_DIR; KEEP=1 keeps it running.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
run=$(mktemp -d)
export LOFTPATH_ADMIN_KEY=demo-admin LOFTPATH_ADDRESS=127.0.0.1:17301
export LOFTPATH_PLATFORM=127.0.0.1:17100
pids=()

heading() { printf '\n== %s\n' "$*"; }
stop_processes() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$run"
}
trap stop_processes EXIT
start_process() { "$@" 2>"$run/${pids[*]:+${#pids[@]}}.log" & pids+=($!); }
start_instance() { # name data-centre port
  LOFTPATH_NAME=$1 LOFTPATH_DATACENTRE=$2 LOFTPATH_LISTEN=127.0.0.1:$3 \
    LOFTPATH_PEER=127.0.0.1:$(($3 + 100)) "$build/bin/loftpathd" 2>"$run/$1.log" &
  pids+=($!)
  curl -sf -X PUT -d "{\"peer\":\"tcp://127.0.0.1:$(($3 + 100))\"}" \
    "http://$LOFTPATH_PLATFORM/instances/$1" >/dev/null
}
wait_until() { # what, command...
  local what=$1
  shift
  for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  echo "timed out waiting for: $what" >&2
  cat "$run"/*.log >&2
  exit 1
}

heading "a stand-in platform, two engines, a booking service, three instances in two data centres"
start_process "$build/fakes/fake_platform" 127.0.0.1:17100
start_process "$build/fakes/fake_engine" 127.0.0.1:17201
start_process "$build/fakes/fake_engine" 127.0.0.1:17202
start_process "$build/fakes/fake_booking" 127.0.0.1:17210
wait_until platform curl -sf "http://$LOFTPATH_PLATFORM/stats"
start_instance nord-1 nord 17301
start_instance nord-2 nord 17302
start_instance sued-1 sued 17303
for port in 17301 17302 17303; do wait_until "instance $port" curl -sf "http://127.0.0.1:$port/healthz"; done
wait_until "three members" bash -c "[ \$($build/bin/loftpath instances | wc -l) = 4 ]"
"$build/bin/loftpath" instances

heading "an operator applies the table"
"$build/bin/loftpath" apply examples/demo.csv

heading "a caller streams a chat answer through nord-1"
curl -sSN -H 'Authorization: Bearer demo-key-harbor' -H 'Content-Type: application/json' \
  -D "$run/headers" -d '{"model":"shuttle","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"When does the shuttle leave?"}]}' \
  http://127.0.0.1:17301/v1/chat/completions | tee "$run/stream"
grep -i '^loftpath-' "$run/headers"
grep -q '\[DONE\]' "$run/stream"

heading "the same customer books a bay through sued-1, and repeats the request with the same key through nord-2"
book() { curl -sS -i -H 'Authorization: Bearer demo-key-harbor' -H 'Idempotency-Key: bay-for-family-9' \
  -d '{"plate":"ED-LP 9"}' "http://127.0.0.1:$1/services/booking/book" | tr -d '\r' | grep -E '^HTTP|^Loftpath|bay'; }
book 17303
book 17302
echo "the booking service counted: $(curl -s http://127.0.0.1:17210/stats)"
curl -s http://127.0.0.1:17210/stats | grep -q '"bookings":1'

heading "a customer with a small budget is refused before the budget is overspent"
for _ in 1 2 3; do
  curl -sS -H 'Authorization: Bearer demo-key-meadow' \
    -d '{"model":"letters","max_tokens":1000,"messages":[{"role":"user","content":"Write a long letter."}]}' \
    http://127.0.0.1:17302/v1/chat/completions | cut -c1-160
  echo
done

heading "budgets as loftpath shows them (spend is reported every few seconds)"
wait_until "the spend in the store" bash -c "$build/bin/loftpath budgets | grep 'harbor' | awk '{exit !(\$3 > 0)}'"
"$build/bin/loftpath" budgets

heading "status"
"$build/bin/loftpath" status || true

if [ "${KEEP:-0}" = 1 ]; then
  heading "still running; try:"
  echo "  curl -N -H 'Authorization: Bearer demo-key-harbor' -d '{\"model\":\"shuttle\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hi\"}]}' http://127.0.0.1:17301/v1/chat/completions"
  echo "  LOFTPATH_ADMIN_KEY=demo-admin LOFTPATH_ADDRESS=127.0.0.1:17301 $build/bin/loftpath status"
  echo "  curl http://127.0.0.1:17301/metrics"
  echo "press Ctrl-C to stop"
  wait
fi

heading "a planned stop of every instance"
for p in "${pids[@]:4}"; do kill -TERM "$p"; done
for p in "${pids[@]:4}"; do wait "$p" && echo "instance process ended with 0"; done
heading "done: nothing is left running"
