#!/bin/sh
# make bench: the slopes behind docs/CAPACITY.md and docs/MEASUREMENTS.md,
# measured on loopback with the stand-ins. Figures are printed as
# "name value unit"; the machine is shared, so compare within one run.
set -u
. tools/cluster.sh
DIR=$(mktemp -d /tmp/lavenderward-bench.XXXXXX)
trap 'cluster_stop' EXIT INT TERM
HZ=$(getconf CLK_TCK)
out() { echo "$1 $2 $3"; }
calc() { awk "BEGIN { printf \"%.3f\", $1 }"; }

cpu_ticks() {
	# user+system ticks of all nodes
	t=0
	for pid in $(node_pids); do
		set -- $(cut -d' ' -f14,15 "/proc/$pid/stat")
		t=$((t + $1 + $2))
	done
	echo $t
}
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
p99() { sed -n 's/^latency_ms p50 \([0-9.]*\) p99 \([0-9.]*\).*/\1 \2/p' "$1"; }

if [ "${BENCH_ONLY:-}" != surge ]; then
SERVICE_MS=0 cluster_start "$DIR" 21000 guard || exit 1
echo "== added latency (service time 0, 300 requests/s for 5 s)"
WB=127.0.0.1:$(port_of 0 0 3)
WN=127.0.0.1:$(port_of 0 0 0)
RN=127.0.0.1:$(port_of 1 0 0)
$BIN/lwload --mix 'whois-svc/lookup:1' --node "whois-svc=$WB" --via direct --rate 300 --seconds 5 --workers 8 >"$DIR/direct.txt"
$BIN/lwload --mix 'whois-svc/lookup:1' --node "whois-svc=$WN" --rate 300 --seconds 5 --workers 8 >"$DIR/call.txt"
c0=$(cpu_ticks)
$BIN/lwload --mix 'whois-svc/lookup:1' --node "whois-svc=$RN" --via out --rate 300 --seconds 5 --workers 8 >"$DIR/out.txt"
c1=$(cpu_ticks)
set -- $(p99 "$DIR/direct.txt"); d50=$1; d99=$2
set -- $(p99 "$DIR/call.txt"); c50=$1; c99=$2
set -- $(p99 "$DIR/out.txt"); o50=$1; o99=$2
out latency_direct_p50_p99 "$d50 $d99" ms
out latency_one_node_pass_p50_p99 "$c50 $c99" ms
out latency_two_node_passes_p50_p99 "$o50 $o99" ms
out added_two_passes_p50 "$(calc "$o50 - $d50")" ms
out added_two_passes_p99 "$(calc "$o99 - $d99")" ms
reqs=$(sed -n 's/^total *\([0-9]*\) done.*/\1/p' "$DIR/out.txt")
out cpu_per_call_two_passes "$(calc "($c1 - $c0) * 1000000 / $HZ / $reqs")" us
echo "== control cost at rest (10 s, 8 nodes: ticks, heartbeats, config watch)"
c0=$(cpu_ticks)
sleep 10
c1=$(cpu_ticks)
out idle_cpu_per_node "$(calc "($c1 - $c0) * 100 / $HZ / 10 / 8")" percent_of_a_core
for n in node-0-0 node-1-0; do
	out node_rss "$(rss_kb "$(pid_of $n)")" kB
done
echo "== preset change in force at every node (5 changes)"
s0=$($BIN/lwstub-config --to "127.0.0.1:$BASE" --stats | sed -n 's/^watches //p')
for v in 2 3 4 5 6; do
	preset=peak
	[ $((v % 2)) = 1 ] && preset=ordinary
	write_config "$DIR/c$v.toml" $v $preset
	t0=$(date +%s%N)
	publish "$DIR/c$v.toml"
	while :; do
		n=0
		for k in 0 1 2 3 4 5 6 7; do
			$BIN/lwctl status "127.0.0.1:$((BASE + 10 + k * 10 + 2))" | grep -q "^config_version $v$" && n=$((n + 1))
		done
		[ $n = 8 ] && break
	done
	t1=$(date +%s%N)
	out preset_change_in_force_all_nodes "$(((t1 - t0) / 1000000))" ms
done
s1=$($BIN/lwstub-config --to "127.0.0.1:$BASE" --stats | sed -n 's/^watches //p')
out config_watch_calls_per_node_per_change "$(calc "($s1 - $s0) / 8 / 5")" calls
echo "== drain notice reaches a caller (heartbeat path)"
# the registrar node in hala-a sent its calls to the whois node of its own zone
WPEER=127.0.0.1:$(port_of 0 0 1)
t0=$(date +%s%N)
$BIN/lwctl drain "127.0.0.1:$(port_of 0 0 2)" >/dev/null
for _ in $(seq 1 3000); do
	$BIN/lwctl status "127.0.0.1:$(port_of 1 0 2)" | grep -q "peer $WPEER .*state=draining" && break
done
t1=$(date +%s%N)
out drain_notice_to_caller "$(((t1 - t0) / 1000000))" ms
cluster_stop
fi

echo "== 3x surge of whois lookups, hard-retrying clients, slowed billing (guard against naive)"
MIX='whois-svc/lookup:60~,registrar-core/register:10!,billing-svc/renew:10!,zone-svc/upload:20'
for pol in naive guard; do
	SERVICE_MS=20 BILLING_EXTRA_MS=30 cluster_start "$DIR" 22000 $pol || exit 1
	# shellcheck disable=SC2046
	$BIN/lwload --mix "$MIX" $(cluster_nodes) --rate "${SURGE_RATE:-900}" --seconds 12 --workers 256 \
		--surge 3:7:3 --client-retries 3 --deadline-ms 1000 >"$DIR/surge-$pol.txt"
	sed "s/^/$pol /" "$DIR/surge-$pol.txt" | grep -E 'goodput|recovery|total|latency'
	cluster_stop
done
echo "bench: raw outputs in $DIR"
