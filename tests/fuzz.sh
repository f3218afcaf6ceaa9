#!/bin/sh
# fuzz.sh BUILD_DIR RUNS [SEED]: random bytes into the decoders of messages
# between instances and of objects in the store, from the golden ones on; fails
# at a crash, a leak, or one that we would not have written.
set -eu
build=$1 runs=$2 seed=${3:-1}
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
libs="glib-2.0 jansson libzmq msgpack zlib libxxhash"

# fuzz NAME CORPUS SOURCE...: the sources are those whose paths lead the way.
fuzz() {
  name=$1 corpus=$2
  shift 2
  clang -g -O1 -std=gnu11 -fsanitize=fuzzer,address,undefined \
    -fno-sanitize-recover=undefined -I"$root/packages" -I"$root" \
    "$root/tests/fuzz_$name.c" "$@" "$build/packages/libloftpath.a" \
    $(pkg-config --cflags --libs $libs) -lcsv -lm -o "$dir/$name"
  "$dir/$name" -runs="$runs" -seed="$seed" -max_len=512 \
    -artifact_prefix="$dir/" -dict="$root/tests/json.dict" -verbosity=0 "$corpus" || {
    for f in "$dir"/crash-* "$dir"/leak-*; do
      [ -f "$f" ] && od -An -c "$f"
    done
    exit 1
  }
  echo "$name: $runs inputs, seed $seed: no harm"
}

# Each golden message is a frame of its own to begin with. Bytes that the source
# has on several lines are joined.
mkdir "$dir/messages"
tr '\n' ' ' <"$root/tests/test_golden.c" | sed 's/" *"//g' |
  grep -o '"[0-9a-f]\{8,\}"' | tr -d '"' |
  awk '{ print > ("'"$dir"'/hex" NR) }'
for h in "$dir"/hex*; do
  python3 -c 'import sys; sys.stdout.buffer.write(bytes.fromhex(sys.argv[1]))' \
    "$(cat "$h")" >"$dir/messages/$(basename "$h")"
done
fuzz codec "$dir/messages" "$root/packages/peer/decode.c" \
  "$root/packages/peer/encode.c" "$root/packages/peer/packed.c"

cp -r "$root/tests/golden" "$dir/objects"
fuzz stored "$dir/objects" "$root/packages/ledger/shardio.c" \
  "$root/packages/once/claimdoc.c" "$root/packages/once/bill.c" \
  "$root/packages/place/plan.c" "$root/packages/route/trials.c" \
  "$root/packages/table/table.c"
