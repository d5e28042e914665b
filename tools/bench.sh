#!/bin/sh
# make bench: measures the cost figures that docs/CAPACITY.md and
# docs/MEASUREMENTS.md use, on loopback with the stub servers. Prints lines
# "name value unit". The machine is shared, so compare figures only within
# one run.
#
#   tools/bench.sh [PART...]    latency control config memory fleet surge
#
# OLD=FOLDER adds the binaries of an earlier version to the surge runs.
set -u
cd "$(dirname "$0")/.." || exit 2
. tools/cluster.sh
DIR=$(mktemp -d /tmp/lavenderward-bench.XXXXXX)
trap 'cluster_stop' EXIT
# processes are also stopped when the reader of the output closes the pipe
trap 'exit 130' INT TERM HUP PIPE
HZ=$(getconf CLK_TCK)
out() { echo "$1 $2 $3"; }
calc() { awk "BEGIN { printf \"%.3f\", $1 }"; }

# user and system CPU time of all nodes, in clock ticks
cpu_ticks() {
	t=0
	for pid in $(node_pids); do
		# shellcheck disable=SC2046
		set -- $(cut -d' ' -f14,15 "/proc/$pid/stat")
		t=$((t + $1 + $2))
	done
	echo $t
}
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
metric() { $BIN/lwctl metrics "127.0.0.1:$1" | awk -v m="$2" '$1 == m { print $2 }'; }
latency() { sed -n 's/^latency_ms p50 \([0-9.]*\) p99 \([0-9.]*\).*/\1 \2/p' "$1"; }

bench_latency() {
	SERVICE_MS=0 cluster_start "$DIR" 21000 guard || exit 1
	echo "== added latency (service time 0, 300 requests/s for 5 s)"
	load="--mix whois-svc/lookup:1 --rate 300 --seconds 5 --workers 8"
	c0=$(cpu_ticks)
	for via in direct call out; do
		case $via in
		direct) to=$(port_of 0 0 3) ;;
		call) to=$(port_of 0 0 0) ;;
		out) to=$(port_of 1 0 0) && c0=$(cpu_ticks) ;;
		esac
		# shellcheck disable=SC2086
		$BIN/lwload $load --node "whois-svc=127.0.0.1:$to" --via $via >"$DIR/$via.txt"
		out "latency_${via}_p50_p99" "$(latency "$DIR/$via.txt")" ms
	done
	c1=$(cpu_ticks)
	# shellcheck disable=SC2046
	set -- $(latency "$DIR/direct.txt") $(latency "$DIR/out.txt")
	out added_two_passes_p50 "$(calc "$3 - $1")" ms
	out added_two_passes_p99 "$(calc "$4 - $2")" ms
	reqs=$(sed -n 's/^total *\([0-9]*\) done.*/\1/p' "$DIR/out.txt")
	out cpu_per_call_two_passes "$(calc "($c1 - $c0) * 1000000 / $HZ / $reqs")" us
	cluster_stop
}

bench_control() {
	cluster_start "$DIR" 21000 guard || exit 1
	echo "== control cost at rest (20 s, 8 nodes: ticks, heartbeats, config watch)"
	A=$(port_of 1 0 2)
	c0=$(cpu_ticks)
	b0=$(metric "$A" lw_control_bytes_total)
	h0=$(metric "$A" lw_heartbeats_total)
	sleep 20
	c1=$(cpu_ticks)
	out idle_cpu_per_node "$(calc "($c1 - $c0) * 100 / $HZ / 20 / 8")" percent_of_a_core
	out heartbeats_per_node "$(calc "($(metric "$A" lw_heartbeats_total) - $h0) / 20")" per_s
	out control_bytes_per_node "$(calc "($(metric "$A" lw_control_bytes_total) - $b0) / 20")" B/s
	echo "== drain notice reaches a caller"
	$BIN/lwload --mix 'whois-svc/lookup:1' --node "whois-svc=127.0.0.1:$(port_of 1 0 0)" --via out \
		--rate 50 --seconds 1 >/dev/null
	t0=$(date +%s%N)
	$BIN/lwctl drain "127.0.0.1:$(port_of 0 0 2)" >/dev/null
	for _ in $(seq 1 3000); do
		status_of 1 0 | grep -q "peer 127.0.0.1:$(port_of 0 0 1) .*state=draining" && break
	done
	out drain_notice_to_caller "$((($(date +%s%N) - t0) / 1000000))" ms
	cluster_stop
}

# publish version $1 with preset $2 and print the milliseconds until all 8 nodes have it
time_change() {
	write_config "$DIR/c$1.toml" "$1" "$2"
	t0=$(date +%s%N)
	publish "$DIR/c$1.toml"
	while [ "$(nodes_with_config "$1")" != 8 ]; do :; done
	echo "$((($(date +%s%N) - t0) / 1000000))"
}

bench_config() {
	cluster_start "$DIR" 21000 guard || exit 1
	echo "== preset change in force at every node (5 changes; one status round is part of it)"
	t0=$(date +%s%N)
	nodes_with_config 1 >/dev/null
	out status_round_of_8_nodes "$((($(date +%s%N) - t0) / 1000000))" ms
	w0=$($BIN/lwstub-config --to "127.0.0.1:$BASE" --stats | sed -n 's/^watches //p')
	for v in 2 3 4 5 6; do
		preset=peak
		[ $((v % 2)) = 1 ] && preset=ordinary
		out preset_change_in_force_all_nodes "$(time_change $v $preset)" ms
	done
	w1=$($BIN/lwstub-config --to "127.0.0.1:$BASE" --stats | sed -n 's/^watches //p')
	out config_watch_calls_per_node_per_change "$(calc "($w1 - $w0) / 8 / 5")" calls
	echo "== the same with the service refusing a restarted node (from a peer)"
	config_fault down
	kill -KILL "$(pid_of node-1-0)"
	t0=$(date +%s%N)
	start_node 1 0
	while [ "$(nodes_with_config 6)" != 8 ]; do :; done
	out restarted_node_has_config_from_peer "$((($(date +%s%N) - t0) / 1000000))" ms
	cluster_stop
}

big_document() {
	# $1 hosts in 85 services, version $2; the first host is the node under test at address $3
	{
		echo "version = $2"
		echo 'preset = "ordinary"'
		cat demo/presets.toml
		awk -v n="$1" -v first="$3" 'BEGIN { for (i = 0; i < n; i++) {
			printf "[[hosts]]\nservice = \"svc-%02d\"\nnode = \"%s\"\nzone = \"zone-%d\"\n", \
				i % 85, i ? "127.99." int(i / 250) "." i % 250 ":7101" : first, i % 4 } }'
	} >"$DIR/big.toml"
}

bench_memory() {
	echo "== memory and config cost of one node against the fleet's size"
	for hosts in 8 300 1200 2400; do
		: >"$DIR/pids"
		BASE=21000
		POLICY=guard
		big_document $hosts 1 "127.0.0.1:$(port_of 0 0 1)"
		start_config "$DIR/big.toml"
		start_backend 0 0
		start_node 0 0
		until status_of 0 0 | grep -q '^config_version 1'; do sleep 0.05; done
		sleep 1
		pid=$(pid_of node-0-0)
		out "rss_node_${hosts}_hosts" "$(rss_kb "$pid")" kB
		out "document_${hosts}_hosts" "$(wc -c <"$DIR/big.toml")" bytes
		c0=$(cpu_ticks)
		for v in $(seq 2 21); do
			big_document $hosts "$v" "127.0.0.1:$(port_of 0 0 1)"
			publish "$DIR/big.toml"
			until status_of 0 0 | grep -q "^config_version $v"; do :; done
		done
		out "cpu_per_config_change_${hosts}_hosts" "$(calc "($(cpu_ticks) - c0) * 1000 / $HZ / 20" | sed "s/c0/$c0/")" ms
		cluster_stop
	done
	echo "== memory against requests in flight and stored answers"
	SERVICE_MS=400 cluster_start "$DIR" 21000 guard || exit 1
	pid=$(pid_of node-0-0)
	r0=$(rss_kb "$pid")
	$BIN/lwload --mix 'whois-svc/lookup:1' --node "whois-svc=127.0.0.1:$(port_of 0 0 0)" \
		--rate 2000 --seconds 2 --workers 400 --deadline-ms 3000 >/dev/null
	out rss_per_caller_connection "$(calc "($(rss_kb "$pid") - $r0) / 400")" kB
	r0=$(rss_kb "$(pid_of node-3-0)")
	cluster_stop
	SERVICE_MS=0 cluster_start "$DIR" 21000 guard || exit 1
	pid=$(pid_of node-3-0)
	r0=$(rss_kb "$pid")
	$BIN/lwload --mix 'billing-svc/renew:1!' --node "billing-svc=127.0.0.1:$(port_of 3 0 0)" \
		--rate 1000 --seconds 6 --workers 8 >"$DIR/keys.txt"
	n=$(status_of 3 0 | sed -n 's/^records //p')
	out records "$n" records
	out rss_per_idempotency_record "$(calc "($(rss_kb "$pid") - $r0) / ($n + 1)")" kB
	cluster_stop
}

bench_fleet() {
	echo "== how control grows with the fleet: N idle nodes of one service, 10 s"
	for n in 10 40 80; do
		: >"$DIR/pids"
		BASE=21000
		POLICY=guard
		{
			echo 'version = 1'
			echo 'preset = "ordinary"'
			cat demo/presets.toml
			for j in $(seq 0 $((n - 1))); do
				printf '[[hosts]]\nservice = "whois-svc"\nnode = "127.0.0.1:%d"\nzone = "hala-a"\n' \
					$((22000 + j * 3 + 1))
			done
		} >"$DIR/fleet.toml"
		start_config "$DIR/fleet.toml"
		for j in $(seq 0 $((n - 1))); do
			p=$((22000 + j * 3))
			$BIN/lwnode --service whois-svc --zone hala-a --listen "127.0.0.1:$p" \
				--peer-listen "127.0.0.1:$((p + 1))" --admin "127.0.0.1:$((p + 2))" \
				--backend "127.0.0.1:9" --slots 4 --config-service "127.0.0.1:$BASE" \
				--log-level error 2>>"$DIR/fleet.log" &
			note_pid "node-$j" $!
		done
		sleep 4
		c0=$(cpu_ticks)
		b0=$(metric 22002 lw_control_bytes_total)
		w0=$($BIN/lwstub-config --to "127.0.0.1:$BASE" --stats | sed -n 's/^watches //p')
		sleep 10
		c1=$(cpu_ticks)
		w1=$($BIN/lwstub-config --to "127.0.0.1:$BASE" --stats | sed -n 's/^watches //p')
		out "fleet_${n}_cpu_per_node" "$(calc "($c1 - $c0) * 100 / $HZ / 10 / $n")" percent_of_a_core
		out "fleet_${n}_control_bytes_per_node" "$(calc "($(metric 22002 lw_control_bytes_total) - $b0) / 10")" B/s
		out "fleet_${n}_watch_calls" "$(calc "($w1 - $w0) / 10")" calls_per_s
		sed 's/^version = 1$/version = 2/' "$DIR/fleet.toml" >"$DIR/fleet2.toml"
		t0=$(date +%s%N)
		publish "$DIR/fleet2.toml"
		for j in $(seq 0 $((n - 1))); do
			until $BIN/lwctl status "127.0.0.1:$((22000 + j * 3 + 2))" | grep -q '^config_version 2'; do :; done
		done
		out "fleet_${n}_change_in_force_everywhere" "$((($(date +%s%N) - t0) / 1000000))" ms
		cluster_stop
	done
}

# surge_run NAME POLICY SECONDS: one run; the payment service is slowed down
# from 4 s to 10 s after the start of the load
surge_run() {
	SERVICE_MS=20 cluster_start "$DIR" 21000 "$2" || exit 1
	# shellcheck disable=SC2046
	$BIN/lwload --mix "$MIX" $(cluster_nodes) --rate "${SURGE_RATE:-900}" --seconds "$3" \
		--workers 700 --surge 4:10:3 --client-retries 3 --deadline-ms 1000 >"$DIR/surge-$1.txt" &
	load=$!
	sleep 4
	for k in 0 1; do $BIN/lwstub-backend --to "127.0.0.1:$(port_of 3 $k 3)" --ctl 'slow?ms=60' >/dev/null; done
	sleep 6
	for k in 0 1; do $BIN/lwstub-backend --to "127.0.0.1:$(port_of 3 $k 3)" --ctl slow >/dev/null; done
	wait $load
	sed "s/^/$1 /" "$DIR/surge-$1.txt" | grep -E 'goodput|recovery|total|latency|attempts'
	cluster_stop
}

bench_surge() {
	for SITE in wierzba kandy; do
		. tools/cluster.sh
		echo "== $SITE: 3x surge of browsing for 6 s, payments slowed by 60 ms, hard-retrying clients"
		surge_run naive naive 16
		surge_run guard guard 16
		echo "== $SITE: the same, backend servers that queue up to 500 requests"
		BACKEND_QUEUE=500
		surge_run naive naive 16
		surge_run guard guard 16
		BACKEND_QUEUE=0
	done
	SITE=wierzba
}

for part in ${*:-latency control config memory fleet surge}; do
	"bench_$part"
done
echo "bench: raw outputs in $DIR"
