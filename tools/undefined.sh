#!/bin/sh
# make undefined: plays tests with binaries in which arithmetic that is undefined, or that
# processors do differently, ends the process: a division by zero, a number that does not fit
# into an integer, a shift too far, a misaligned access. Prints file and line of what was found.
#
#   tools/undefined.sh FOLDER    the folder of the binaries
set -u
cd "$(dirname "$0")/.." || exit 2
BIN=$1
OUT=$(mktemp -d /tmp/lavenderward-undefined.XXXXXX)
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1:log_path="$OUT/found"
# the servers of these seeds get requests while their nodes stop
SOAK_SEEDS=1,18
MESH_TESTS="test_sigterm test_all_stop_in_turn test_nothing_is_taken_after_the_exit_is_decided"

# part NAME COMMAND...: prints what COMMAND wrote only if it failed
part() {
	name=$1
	shift
	if "$@" >"$OUT/$name.txt" 2>&1; then
		echo "passed undefined: $name"
	else
		tail -40 "$OUT/$name.txt"
		echo "FAILED undefined: $name"
		touch "$OUT/failed"
	fi
}

decisions() {
	part lwtest "$BIN/lwtest" tests/scripts tests/decisions
	part sim env SIM="$BIN/lwsim" sh tests/sim.sh
}

nodes() {
	part soak env LWPROXY="$BIN/lwproxy" python3 tests/soak/soak.py --seeds $SOAK_SEEDS --seconds 8
	# shellcheck disable=SC2086
	part mesh env LWPROXY="$BIN/lwproxy" python3 tests/mesh/run.py $MESH_TESTS
}

decisions &
nodes
wait
# a process that ended so is not always missed by its test
for f in "$OUT"/found.*; do
	[ -e "$f" ] || continue
	cat "$f"
	touch "$OUT/failed"
done
if [ -e "$OUT/failed" ]; then
	echo "undefined: failed; outputs in $OUT"
	exit 1
fi
rm -r "$OUT"
echo "undefined: nothing found"
