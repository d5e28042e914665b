#!/bin/sh
# make demo: a fleet like the Wierzba Registry Mesh on loopback serves a short
# mixed workload end to end, then requests whose backend servers are down.
set -u
. tools/cluster.sh
DIR=$(mktemp -d /tmp/lavenderward-demo.XXXXXX)
trap 'cluster_stop' EXIT
# processes are also stopped when the reader of the output closes the pipe
trap 'exit 130' INT TERM HUP PIPE
cluster_start "$DIR" 27000 guard || exit 1
echo "== demo: 8 nodes, 8 stand-in backends, 1 config stand-in on loopback"
# shellcheck disable=SC2046
$BIN/lwload --mix "$MIX" \
	$(cluster_nodes) --rate 150 --seconds 4 --deadline-ms 1000 --history "$DIR/history.txt"
echo "== a request whose backend server is down gets a typed answer, not a hang"
kill -TERM "$(pid_of backend-3-0)" "$(pid_of backend-3-1)"
sleep 0.2
# shellcheck disable=SC2046
$BIN/lwload --mix 'billing-svc/renew:1!' $(cluster_nodes) --rate 5 --seconds 1 --deadline-ms 500
echo "== lwctl status of one node"
$BIN/lwctl status 127.0.0.1:27012 | head -8
echo "== burn report"
# shellcheck disable=SC2046
$BIN/lwburn $(cluster_admins) --samples 1 --slo 0.99
echo "logs and history in $DIR"
