#!/bin/sh
# deploy/build.sh: builds the production program into target/.
set -eu
[ -f target/build.ninja ] || meson setup target --buildtype=release \
  -Ddebug=true -Dtests=false
ninja -C target bin/loftpathd
