#!/usr/bin/env bash
# deps.sh: installs what the build and the tests need on Debian 12.
set -euo pipefail
packages="gcc clang libclang-rt-14-dev clang-format clang-tidy cppcheck meson
ninja-build pkg-config liburcu-dev libzmq3-dev libmicrohttpd-dev
libneon27-gnutls-dev libglib2.0-dev libcriterion-dev libjansson-dev
libev-dev libhttp-parser-dev
libmsgpack-dev zlib1g-dev libxxhash-dev libcsv-dev liblua5.4-dev spin curl python3 procps"
missing=""
for p in $packages; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
