#!/bin/sh
# Installs the Debian packages that the build needs, if any are missing.
set -e
PKGS="liburcu-dev libprotobuf-c-dev libmicrohttpd-dev libneon27-dev libargtable2-dev libcunit1-dev libtomlplusplus-dev libxxhash-dev libcairo2-dev libclang-rt-14-dev uthash-dev libev-dev libhttp-parser-dev libjansson-dev libzstd-dev nettle-dev"
# formatter and linter of "make lint", which not every machine has
TOOLS="clang-format clang-tidy"
missing=""
for p in $PKGS $TOOLS; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" != 0 ]; then
	echo "deps: missing:$missing; run as root or: sudo apt-get install -y$missing" >&2
	exit 1
fi
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y $missing
