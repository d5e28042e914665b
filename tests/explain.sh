#!/bin/sh
# Tests of lwctl explain on recorded log lines: the text, the JSON output, and an
# id without log lines; and of lwctl check on a configuration with a shared key.
set -e
CTL=${CTL:-build/lwctl}
DIR=$(dirname "$0")/explain
ID=e26b8fb2ae9eb475
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
"$CTL" explain $ID "$DIR/hala-a-1.log" "$DIR/hala-b-2.log" >"$tmp/text"
"$CTL" explain $ID "$DIR/hala-b-2.log" "$DIR/hala-a-1.log" >"$tmp/turned"
"$CTL" explain --json $ID "$DIR/hala-a-1.log" "$DIR/hala-b-2.log" >"$tmp/json"
cat "$DIR/hala-a-1.log" | "$CTL" explain $ID - >"$tmp/stdin"
rc=0
"$CTL" explain 0000 "$DIR/hala-a-1.log" >"$tmp/none" 2>&1 || rc=$?
echo "exit $rc" >>"$tmp/none"
"$CTL" explain f3851beff31e91fb "$DIR/over_limit.log" >"$tmp/over_limit"
"$CTL" explain m0-43 "$DIR/server_limit.log" >"$tmp/server_limit"
rc=0
"$CTL" check "$DIR/shared_key.json" 2>&1 | sed 's/^[^:]*: //' >"$tmp/shared_key" || true
"$CTL" check "$DIR/shared_key.json" >/dev/null 2>&1 || rc=$?
echo "exit $rc" >>"$tmp/shared_key"
same "a request whose call and answer failed" "$DIR/call_and_answer_broken.txt" "$tmp/text"
same "the order of the files does not matter" "$DIR/call_and_answer_broken.txt" "$tmp/turned"
same "JSON output" "$DIR/call_and_answer_broken.json" "$tmp/json"
"$CTL" explain anew0 "$DIR/held.log" >"$tmp/held"
"$CTL" explain full113 "$DIR/returned.log" >"$tmp/returned"
same "a request refused because servers crashed during it" "$DIR/held.txt" "$tmp/held"
same "a request returned from the queue of a slower server" "$DIR/returned.txt" "$tmp/returned"
"$CTL" explain 9000-cut "$DIR/cut_off.log" >"$tmp/cut_off"
same "a request cut off by the exit beside its server" "$DIR/cut_off.txt" "$tmp/cut_off"
same "the log of one node on standard input" "$DIR/one_node.txt" "$tmp/stdin"
same "a request over the limit of its organisation" "$DIR/over_limit.txt" "$tmp/over_limit"
same "a request refused because of limits announced by servers" "$DIR/server_limit.txt" "$tmp/server_limit"
same "a configuration with the same key for two organisations" "$DIR/shared_key.txt" "$tmp/shared_key"
same "an id without log lines" "$DIR/none.txt" "$tmp/none"
rm -r "$tmp"
echo "explain: $passed passed, $failed failed"
[ "$failed" = 0 ]
