#!/bin/sh
# lwctl explain on recorded lines of two nodes: the story, the same for
# programs, and an id of which nothing was logged.
set -e
CTL=${CTL:-build/lwctl}
DIR=$(dirname "$0")/explain
ID=e26b8fb2ae9eb475
passed=0
failed=0

# same WHAT EXPECTED GOT
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
same "the story of a request whose call and answer broke" "$DIR/call_and_answer_broken.txt" "$tmp/text"
same "the order of the files does not matter" "$DIR/call_and_answer_broken.txt" "$tmp/turned"
same "the same as JSON" "$DIR/call_and_answer_broken.json" "$tmp/json"
"$CTL" explain anew0 "$DIR/held.log" >"$tmp/held"
same "a request that is held back" "$DIR/held.txt" "$tmp/held"
same "one node's log on standard input" "$DIR/one_node.txt" "$tmp/stdin"
same "a request that is over the limit of its organisation" "$DIR/over_limit.txt" "$tmp/over_limit"
same "a request that the servers' limits leave no room for" "$DIR/server_limit.txt" "$tmp/server_limit"
same "a configuration in which two organisations hold one key" "$DIR/shared_key.txt" "$tmp/shared_key"
same "an id without lines" "$DIR/none.txt" "$tmp/none"
rm -r "$tmp"
echo "explain: $passed passed, $failed failed"
[ "$failed" = 0 ]
