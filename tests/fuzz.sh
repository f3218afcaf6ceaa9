#!/bin/sh
# fuzz.sh BUILD_DIR RUNS [SEED]: random frames into the decoder of messages
# between instances, from the golden ones on; fails at a crash, a leak, or a
# message that our encoder would not have written.
set -eu
build=$1 runs=$2 seed=${3:-1}
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
libs="glib-2.0 jansson libzmq msgpack zlib libxxhash"
clang -g -O1 -std=gnu11 -fsanitize=fuzzer,address,undefined \
  -fno-sanitize-recover=undefined -I"$root/packages" -I"$root" \
  "$root/tests/fuzz_codec.c" "$root/packages/peer/decode.c" \
  "$root/packages/peer/encode.c" "$root/packages/peer/packed.c" "$build/packages/libloftpath.a" \
  $(pkg-config --cflags --libs $libs) -lm -o "$dir/fuzz"
mkdir "$dir/corpus"
# Each golden message is a frame of its own to begin with.
grep -o '"[0-9a-f]\{8,\}"' "$root/tests/test_golden.c" | tr -d '"' |
  awk '{ print > ("'"$dir"'/hex" NR) }'
for h in "$dir"/hex*; do
  python3 -c 'import sys; sys.stdout.buffer.write(bytes.fromhex(sys.argv[1]))' \
    "$(cat "$h")" >"$dir/corpus/$(basename "$h")"
done
"$dir/fuzz" -runs="$runs" -seed="$seed" -max_len=512 -artifact_prefix="$dir/" \
  -verbosity=0 "$dir/corpus" || {
  for f in "$dir"/crash-* "$dir"/leak-*; do [ -f "$f" ] && od -An -tx1 "$f"; done
  exit 1
}
echo "$runs frames, seed $seed: no harm"
