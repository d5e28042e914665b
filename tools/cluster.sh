#!/bin/sh
# Start a small Wierzba Registry Mesh-like fleet on loopback: one config
# stand-in, two stand-in backends per service, each with its own lwnode.
# Sourced by demo.sh, e2e.sh and bench.sh. Every pid started is written to
# $DIR/pids; cluster_stop ends exactly those.
#
#   cluster_start DIR BASEPORT POLICY    (POLICY: guard or naive)

BIN=${BIN:-build}
SERVICES="whois-svc registrar-core zone-svc billing-svc"

svc_slots() {
	case $1 in
	whois-svc) echo 11 ;;
	registrar-core) echo 14 ;;
	zone-svc) echo 14 ;;
	billing-svc) echo 4 ;;
	esac
}

svc_extra() {
	# a slowed deep service, for the surge experiments
	[ "$1" = billing-svc ] && [ -n "${BILLING_EXTRA_MS:-}" ] && echo "--extra-ms $BILLING_EXTRA_MS"
}

svc_calls() {
	case $1 in
	registrar-core) echo "--calls register=zone-svc/availability,billing-svc/charge" ;;
	*) echo "" ;;
	esac
}

# port of instance $2 (0 or 1) of service number $1, role offset $3
port_of() {
	echo $((BASE + 10 + ($1 * 2 + $2) * 10 + $3))
}

write_config() {
	# $1 = file, $2 = version, $3 = preset
	{
		echo "version = $2"
		echo "preset = \"$3\""
		# QUEUE_MS: an experiment's queue bound instead of the presets'
		sed "s/^queue_ms = .*/queue_ms = ${QUEUE_MS:-&}/; s/= queue_ms = /= /" demo/presets.toml
		i=0
		for s in $SERVICES; do
			for k in 0 1; do
				zone=hala-a
				[ $k = 1 ] && zone=hala-b
				[ $i = 2 ] && [ $k = 1 ] && zone=hala-c
				echo ""
				echo "[[hosts]]"
				echo "service = \"$s\""
				echo "node = \"127.0.0.1:$(port_of $i $k 1)\""
				echo "zone = \"$zone\""
				echo "state = \"${LEAVING_STATE:-live}\""
			done
			i=$((i + 1))
		done
	} >"$1"
}

publish() {
	# $1 = config file: the operators publish it on the platform
	$BIN/lwstub-config --to "127.0.0.1:$BASE" --publish "$1" >/dev/null
}

config_fault() {
	$BIN/lwstub-config --to "127.0.0.1:$BASE" --fault "$1" >/dev/null
}

cluster_start() {
	DIR=$1
	BASE=$2
	POLICY=${3:-guard}
	: >"$DIR/pids"
	write_config "$DIR/config.toml" 1 ordinary
	$BIN/lwstub-config --listen "127.0.0.1:$BASE" --load "lavenderward=$DIR/config.toml" \
		2>>"$DIR/config.log" &
	echo $! >>"$DIR/pids"
	i=0
	for s in $SERVICES; do
		for k in 0 1; do
			zone=hala-a
			[ $k = 1 ] && zone=hala-b
			[ $i = 2 ] && [ $k = 1 ] && zone=hala-c
			# shellcheck disable=SC2046
			$BIN/lwstub-backend --service "$s" --listen "127.0.0.1:$(port_of $i $k 3)" \
				--node "127.0.0.1:$(port_of $i $k 0)" --slots "$(svc_slots $s)" \
				--service-ms "${SERVICE_MS:-3}" $(svc_calls $s) $(svc_extra $s) --log "$DIR/exec.log" \
				2>>"$DIR/backend.log" &
			echo $! >>"$DIR/pids"
			$BIN/lwnode --service "$s" --zone "$zone" --listen "127.0.0.1:$(port_of $i $k 0)" \
				--peer-listen "127.0.0.1:$(port_of $i $k 1)" \
				--admin "127.0.0.1:$(port_of $i $k 2)" \
				--backend "127.0.0.1:$(port_of $i $k 3)" --slots "$(svc_slots $s)" \
				--config-service "127.0.0.1:$BASE" --policy "$POLICY" \
				--log-level "${LOG_LEVEL:-notice}" 2>>"$DIR/node.log" &
			echo $! >>"$DIR/pids"
		done
		i=$((i + 1))
	done
	# wait until every node holds the configuration
	for _ in $(seq 1 100); do
		ready=0
		for n in 0 1 2 3 4 5 6 7; do
			if $BIN/lwctl status "127.0.0.1:$((BASE + 10 + n * 10 + 2))" 2>/dev/null |
				grep -q '^config_version [1-9]'; then
				ready=$((ready + 1))
			fi
		done
		[ $ready = 8 ] && return 0
		sleep 0.1
	done
	echo "cluster: nodes did not get the configuration; see $DIR/node.log" >&2
	return 1
}

cluster_nodes() {
	# lwload --node arguments for every node's caller port
	i=0
	for s in $SERVICES; do
		for k in 0 1; do
			printf -- '--node %s=127.0.0.1:%s ' "$s" "$(port_of $i $k 0)"
		done
		i=$((i + 1))
	done
}

cluster_admins() {
	for n in 0 1 2 3 4 5 6 7; do
		printf -- '--node 127.0.0.1:%s ' $((BASE + 10 + n * 10 + 2))
	done
}

cluster_stop() {
	[ -f "$DIR/pids" ] || return 0
	while read -r pid; do
		kill -TERM "$pid" 2>/dev/null
	done <"$DIR/pids"
	for _ in $(seq 1 50); do
		alive=0
		while read -r pid; do
			kill -0 "$pid" 2>/dev/null && alive=1
		done <"$DIR/pids"
		[ $alive = 0 ] && break
		sleep 0.1
	done
	while read -r pid; do
		kill -KILL "$pid" 2>/dev/null
	done <"$DIR/pids"
	: >"$DIR/pids"
}
