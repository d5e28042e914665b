#!/bin/sh
# Tests of lwfleet on recorded log lines: the log of one host, and one that a collector has
# merged from two hosts, with the host's name before most of the lines.
set -e
FLEET=${FLEET:-build/lwfleet}
DIR=$(dirname "$0")/fleet
passed=0
failed=0

# same DESCRIPTION EXPECTED ACTUAL: compares two files
same() {
	if cmp -s "$2" "$3"; then
		passed=$((passed + 1))
		echo "passed $1"
	else
		failed=$((failed + 1))
		echo "FAILED $1"
		diff "$2" "$3" || true
	fi
}

tmp=$(mktemp -d)
"$FLEET" --csv "$tmp/csv" --plot "$tmp/png" "$DIR/hala-a-1.log" "$DIR/merged.log" >"$tmp/text"
"$FLEET" "$DIR/merged.log" "$DIR/hala-a-1.log" >"$tmp/turned"
head -c 4 "$tmp/png" | tail -c 3 >"$tmp/magic"
printf PNG >"$tmp/png_magic"
rc=0
"$FLEET" "$DIR/expected.csv" >"$tmp/none" 2>&1 || rc=$?
echo "exit $rc" >>"$tmp/none"
same "what three nodes did" "$DIR/expected.txt" "$tmp/text"
same "the order of the files does not matter" "$DIR/expected.txt" "$tmp/turned"
same "one row a process" "$DIR/expected.csv" "$tmp/csv"
same "a plot" "$tmp/png_magic" "$tmp/magic"
same "a file without lines of a node" "$DIR/none.txt" "$tmp/none"
rm -r "$tmp"
echo "fleetlog: $passed passed, $failed failed"
[ "$failed" = 0 ]
