#!/bin/sh
# End-to-end test over loopback: the demo fleet serves a mixed workload of
# clients that retry aggressively, and histcheck.py verifies the guarantees
# of the specification on the history and the backend servers' execution
# logs. Then the backend servers of one service stop, and its callers must
# get typed answers instead of hanging. Prints "N passed, N failed".
set -u
. tools/cluster.sh
DIR=$(mktemp -d /tmp/lavenderward-e2e.XXXXXX)
trap 'cluster_stop' EXIT
# processes are also stopped when the reader of the output closes the pipe
trap 'exit 130' INT TERM HUP PIPE
pass=0
fail=0
ok() { pass=$((pass + 1)); echo "ok   $1"; }
bad() { fail=$((fail + 1)); echo "FAIL $1"; }

cluster_start "$DIR" 28000 guard || { echo "0 passed, 1 failed"; exit 1; }

# Mixed load: requests are served, registrations among them; each caller gets
# its own answers; the guarantees hold on the history.
# shellcheck disable=SC2046
$BIN/lwload --mix "$MIX" $(cluster_nodes) --rate 200 --seconds 3 --client-retries 2 \
	--history "$DIR/history.txt" >"$DIR/load.txt"
if grep -q '^total .* done' "$DIR/load.txt" && ! grep -q '^register *0 done' "$DIR/load.txt"; then
	ok e2e_mixed_load_served
else
	bad e2e_mixed_load_served
fi
if grep -q 'crossed 0$' "$DIR/load.txt"; then ok e2e_each_caller_own_answer; else bad e2e_each_caller_own_answer; fi
if python3 tests/histcheck.py "$DIR/history.txt" "$DIR"/exec-*.log --budget 2 --client-retries 2 \
	--reads zone-svc/availability --calls register=3 >"$DIR/check.txt"; then
	ok e2e_history_check
else
	bad e2e_history_check
	cat "$DIR/check.txt"
fi

# e2e_backend_down_typed: both billing backend servers stop; renewals get
# not_run. The idempotency keys of lwload carry a nonce per run: if a second
# run started at k1 again, the node would correctly replay the stored answer
# of the first run's k1, and a renewal would be "done" without a server.
kill -TERM "$(pid_of backend-3-0)" "$(pid_of backend-3-1)"
sleep 0.3
# shellcheck disable=SC2046
$BIN/lwload --mix 'billing-svc/renew:1!' $(cluster_nodes) --rate 20 --seconds 1 --deadline-ms 500 \
	>"$DIR/down.txt"
if grep -q '^renew *0 done, [1-9][0-9]* not_run, 0 unknown' "$DIR/down.txt"; then
	ok e2e_backend_down_typed
else
	bad e2e_backend_down_typed
	cat "$DIR/down.txt"
fi
echo "$pass passed, $fail failed"
[ "$fail" = 0 ]
