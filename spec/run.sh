#!/usr/bin/env bash
# run.sh: checks the models exhaustively and verifies that each switch breaks them.
set -euo pipefail
cd "$(dirname "$0")"
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

# check MODEL SWITCH(or -) EXPECTED(holds|breaks)
check() {
  local dir="$tmp/$1-$2" flags=() states errors
  mkdir "$dir"
  local search=() table=26                      # 2^26 hash slots, for an exhaustive search
  [ "$2" = - ] || flags=("-D$2") search=(-DBFS) table=22 # breadth first: the shortest counterexample
  (cd "$dir" && spin "${flags[@]}" -a "$OLDPWD/$1.pml" >/dev/null &&
    gcc -O3 "${search[@]}" -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -w -o pan pan.c)
  (cd "$dir" && ./pan -E -m2000000 -w$table >out 2>&1) || true
  errors=$(grep -c "assertion violated" "$dir/out" || true)
  states=$(grep 'states, stored' "$dir/out" | awk '{print $1}')
  local complete=yes
  grep -qE 'max search depth too small|out of memory|MEMLIM bound' "$dir/out" && complete=no
  local verdict=holds
  [ "$errors" = 0 ] || verdict=breaks
  if [ "$verdict" = "$3" ] && { [ "$3" = breaks ] || [ "$complete" = yes ]; }; then
    printf 'ok      %-9s %-14s %s, %s states\n' "$1" "$2" "$verdict" "$states"
  else
    printf 'not ok  %-9s %-14s %s (search complete: %s), expected: %s\n' "$1" "$2" "$verdict" "$complete" "$3"
  fi
}

models="allowance:-:holds allowance:NO_PROOF:breaks allowance:NEWEST_ONLY:breaks
allowance:FORGET_OPEN:breaks allowance:LATE_STAMP:breaks allowance:OLD_ERA:breaks
allowance:SLOW_CLOCK:breaks allowance:REACH_BACK:breaks
ledger:-:holds ledger:NO_VERSION:breaks ledger:NO_SEAL:breaks
ledger:OLD_WITNESS:breaks ledger:ON_TIME:breaks ledger:ADD_REPORTS:breaks
ledger:EARLY_RETURN:breaks ledger:EARLY_SEAL:breaks ledger:EARLY_BACK:breaks
ledger:REACH_BACK:breaks
once:-:holds once:CLAIM_AFTER:breaks once:NO_VERSION:breaks
once:ASSUME:breaks
claim:-:holds claim:NO_VERSION:breaks claim:NO_PARTS:breaks
claim:CLEAR_FIRST:breaks claim:SPEAK_FIRST:breaks claim:LATE_RUN:breaks"
for m in $models; do
  IFS=: read -r model switch expected <<<"$m"
  check "$model" "$switch" "$expected" >"$tmp/$m.result" &
done
wait
for m in $models; do cat "$tmp/$m.result"; done
passed=$(cat "$tmp"/*.result | grep -c '^ok' || true)
failed=$(cat "$tmp"/*.result | grep -c '^not ok' || true)
echo "$passed passed, $failed failed"
[ "$failed" = 0 ] && [ "$passed" = 28 ]
