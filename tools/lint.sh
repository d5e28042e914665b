#!/bin/sh
# Runs the formatter and the linter; both must report nothing. Generated
# protobuf code is not checked.
set -e
FILES=$(ls src/*.c src/*.h src/linux/*.c src/linux/*.h platform/*.c platform/*.h tests/*.c tests/*.h | grep -v '\.pb-c\.')
clang-format --dry-run -Werror $FILES
CFLAGS="-std=gnu11 -D_GNU_SOURCE -Isrc -Itests -I/usr/include/neon $(pkg-config --cflags cairo)"
# one clang-tidy process per file, on all cores; it exits non-zero on any finding
echo "$FILES" | tr ' ' '\n' | grep '\.c$' |
	xargs -P "$(nproc)" -I{} sh -c 'clang-tidy --quiet "$1" -- $2 2>/dev/null' _ {} "$CFLAGS"

# the event catalogue in docs/EVENTS.md must match that of the code
if [ -x build/lwnode ]; then
	tmp=$(mktemp)
	build/lwnode --events >"$tmp"
	sed -n '/^| event/,$p' docs/EVENTS.md | diff -u "$tmp" - || { rm -f "$tmp"; echo "lint: docs/EVENTS.md is stale; regenerate it from lwnode --events"; exit 1; }
	rm -f "$tmp"
fi
echo "lint: clean"
