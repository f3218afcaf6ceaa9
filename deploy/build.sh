#!/bin/sh
# deploy/build.sh: builds what runs on the users' machines, into target/.
set -eu
[ -f target/build.ninja ] || meson setup target --buildtype=release \
  -Ddebug=true -Dtests=false
ninja -C target bin/loftpathd
