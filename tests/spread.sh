#!/bin/sh
# The control plane of fleets of 30 to 2,000 hosts on the model (lwspread): the bounds are the
# targets of the users, and what may not grow with the fleet is compared between sizes.
set -e
SPREAD=${SPREAD:-build/lwspread}
passed=0
failed=0
tmp=$(mktemp -d)
for n in 30 100 300 1000 2000; do
	"$SPREAD" $n >"$tmp/$n"
done
"$SPREAD" 300 >"$tmp/again"

# last WHAT HOSTS: the time of the last host, ms; calls WHAT HOSTS: store calls
last() { sed -n "s/^  $1 .* last *\([0-9.]*\) ms/\1/p" "$tmp/$2"; }
calls() { sed -n "s/^  $1 .* all \([0-9]*\) in .*/\1/p" "$tmp/$2"; }
# reached WHAT HOSTS: number of nodes; busiest WHAT HOSTS: most messages a second of a node
reached() { sed -n "s/^  $1 *n *\([0-9]*\) .*/\1/p" "$tmp/$2"; }
busiest() { sed -n "s/^  $1 .*messages_s [0-9.]* \([0-9.]*\) .*/\1/p" "$tmp/$2"; }

# check NAME EXPRESSION: EXPRESSION is in the language of awk
check() {
	if awk "BEGIN { exit !($2) }"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "FAILED $1: $2"
	fi
}

check "the same seed gives the same figures" "$(cmp -s "$tmp/300" "$tmp/again" && echo 1 || echo 0)"
for n in 30 100 300 1000 2000; do
	check "$n hosts: every start gets its documents" "$(reached 'start until ready' $n) == $n"
	check "$n hosts: a start costs the store no call each" "$(calls 'start, store calls' $n) <= 400"
	check "$n hosts: a configuration is in force everywhere within a second" \
		"$(reached 'configuration, calm' $n) == $n && $(last 'configuration, calm' $n) <= 1000"
	check "$n hosts: it is within 4 s when all readers and substitutes end with it" \
		"$(reached 'configuration, readers gone' $n) >= $n - 4 && $(last 'configuration, readers gone' $n) <= 4000"
	check "$n hosts: it is within 4 s after an outage of the store" \
		"$(last 'configuration, outage over' $n) <= 4000"
	check "$n hosts: half of them start anew within a second" \
		"$(reached 'half killed, start until ready' $n) == int(($n + 1) / 2) && $(last 'half killed, start until ready' $n) <= 1000"
	check "$n hosts: a start while the store is away ends within a second of its return" \
		"$(reached 'store away at start, until ready' $n) == $n && $(last 'store away at start, until ready' $n) <= 10000"
done
check "calls of a start do not grow with the fleet" \
	"$(calls 'start, store calls' 2000) <= 1.1 * $(calls 'start, store calls' 300)"
check "calls in an outage do not grow with the fleet" \
	"$(calls 'outage, store calls' 2000) <= 1.1 * $(calls 'outage, store calls' 300)"
check "calls of a start while the store is away do not grow with the fleet" \
	"$(calls 'store away at start, store calls' 2000) <= 1.1 * $(calls 'store away at start, store calls' 300)"
check "calls after half of the hosts were killed do not grow with the fleet" \
	"$(calls 'half killed, store calls' 2000) <= 1.1 * $(calls 'half killed, store calls' 300)"
check "what the busiest node handles in calm times does not grow with the fleet" \
	"$(busiest 'calm, middle and busiest' 2000) <= 1.1 * $(busiest 'calm, middle and busiest' 300)"
rm -r "$tmp"
echo "spread: $passed passed, $failed failed"
[ "$failed" = 0 ]
