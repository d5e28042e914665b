#!/bin/sh
# Starts a small fleet like the Wierzba Registry Mesh on loopback: one stub
# configuration service, and two stub backend servers per service, each with
# its own lwnode. Sourced by demo.sh, e2e.sh, faults.sh and bench.sh. The pid
# of every started process is written to $DIR/pids; cluster_stop stops
# exactly these.
#
#   cluster_start DIR BASEPORT POLICY    (POLICY: guard or naive)

BIN=${BIN:-build}
SITE=${SITE:-wierzba}

# the four services of the deployment, in this order: the one with most reads,
# the one whose requests call two others, the one with uploads, and the payment
# service at the end of the call chain
if [ "$SITE" = kandy ]; then
	SERVICES="showroom orderbook drawing-room till"
	SLOTS="14 14 14 6"
	ENTRY_CALLS="commission=drawing-room/stock?,till/charge"
	PRESETS=demo/presets-kandy.toml
	MIX='showroom/browse:60~,orderbook/commission:10!,till/deposit:10!,drawing-room/sketch:20!'
else
	SERVICES="whois-svc registrar-core zone-svc billing-svc"
	SLOTS="11 14 14 4"
	ENTRY_CALLS="register=zone-svc/availability?,billing-svc/charge"
	PRESETS=demo/presets.toml
	MIX='whois-svc/lookup:60~,registrar-core/register:10!,billing-svc/renew:10!,zone-svc/upload:20'
fi

# word N ARGUMENT...: the N-th of the arguments, counted from 0
word() {
	shift "$(($1 + 1))"
	echo "$1"
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
		# QUEUE_MS replaces the queue bound of the presets in experiments
		sed "s/^queue_ms = .*/queue_ms = ${QUEUE_MS:-&}/; s/= queue_ms = /= /" "$PRESETS"
		i=0
		for s in $SERVICES; do
			for k in 0 1; do
				echo ""
				echo "[[hosts]]"
				echo "service = \"$s\""
				echo "node = \"127.0.0.1:$(peer_port_of $i $k)\""
				echo "zone = \"$(zone_of $i $k)\""
				echo "state = \"live\""
			done
			i=$((i + 1))
		done
	} >"$1"
}

publish() {
	# $1 = configuration file to publish, as an operator would
	$BIN/lwstub-config --to "127.0.0.1:$BASE" --publish "$1" >/dev/null
}

config_fault() {
	$BIN/lwstub-config --to "127.0.0.1:$BASE" --fault "$1" >/dev/null
}

zone_of() {
	# service number, instance
	if [ "$2" = 0 ]; then echo hala-a; elif [ "$1" = 2 ]; then echo hala-c; else echo hala-b; fi
}

# shellcheck disable=SC2086
name_of() { word "$1" $SERVICES; }
# shellcheck disable=SC2086
slots_of() { word "$1" $SLOTS; }

# port that peers connect to: the relay's for the services in $RELAYED
peer_port_of() {
	case " ${RELAYED:-} " in
	*" $1 "*) port_of "$1" "$2" 4 ;;
	*) port_of "$1" "$2" 1 ;;
	esac
}

# started processes: lines "KIND-SERVICE-INSTANCE PID" in $DIR/pids, newest last
note_pid() { echo "$1 $2" >>"$DIR/pids"; }
pid_of() { sed -n "s/^$1 //p" "$DIR/pids" | tail -1; }
all_pids() { cut -d' ' -f2 "$DIR/pids"; }
node_pids() { sed -n 's/^node-[^ ]* //p' "$DIR/pids"; }

start_backend() {
	s=$(name_of "$1")
	calls=""
	[ "$1" = 1 ] && calls="--calls $ENTRY_CALLS"
	# shellcheck disable=SC2086
	$BIN/lwstub-backend --service "$s" --listen "127.0.0.1:$(port_of "$1" "$2" 3)" \
		--node "127.0.0.1:$(port_of "$1" "$2" 0)" --slots "$(slots_of "$1")" \
		--service-ms "${SERVICE_MS:-3}" --queue "${BACKEND_QUEUE:-0}" $calls \
		--log "$DIR/exec-$1-$2.log" 2>>"$DIR/backend.log" &
	note_pid "backend-$1-$2" $!
}

start_node() {
	s=$(name_of "$1")
	$BIN/lwnode --service "$s" --zone "$(zone_of "$1" "$2")" \
		--listen "127.0.0.1:$(port_of "$1" "$2" 0)" \
		--peer-listen "127.0.0.1:$(port_of "$1" "$2" 1)" \
		--advertise "127.0.0.1:$(peer_port_of "$1" "$2")" \
		--admin "127.0.0.1:$(port_of "$1" "$2" 2)" \
		--backend "127.0.0.1:$(port_of "$1" "$2" 3)" --slots "$(slots_of "$1")" \
		--config-service "127.0.0.1:$BASE" --policy "$POLICY" \
		--log-level "${LOG_LEVEL:-notice}" 2>>"$DIR/node-$1-$2.log" &
	note_pid "node-$1-$2" $!
}

start_relay() {
	$BIN/lwstub-relay --listen "127.0.0.1:$(port_of "$1" "$2" 4)" \
		--to "127.0.0.1:$(port_of "$1" "$2" 1)" 2>>"$DIR/relay.log" &
	note_pid "relay-$1-$2" $!
}

start_config() {
	# $1 = initial configuration document
	$BIN/lwstub-config --listen "127.0.0.1:$BASE" --load "lavenderward=$1" \
		2>>"$DIR/config.log" &
	note_pid config $!
}

status_of() { $BIN/lwctl status "127.0.0.1:$(port_of "$1" "$2" 2)" 2>/dev/null; }

# number of nodes that have joined and have configuration version $1 or newer
nodes_with_config() {
	n=0
	for i in 0 1 2 3; do
		for k in 0 1; do
			status_of $i $k | awk -v want="$1" '$1 == "config_version" { v = $2 }
				$1 == "joined" { j = $2 } END { exit !(v >= want && j == "yes") }' && n=$((n + 1))
		done
	done
	echo $n
}

cluster_start() {
	DIR=$1
	BASE=$2
	POLICY=${3:-guard}
	: >"$DIR/pids"
	rm -f "$DIR"/exec-*.log
	write_config "$DIR/config.toml" 1 ordinary
	start_config "$DIR/config.toml"
	for i in 0 1 2 3; do
		for k in 0 1; do
			case " ${RELAYED:-} " in *" $i "*) start_relay $i $k ;; esac
			start_backend $i $k
			start_node $i $k
		done
	done
	for _ in $(seq 1 100); do
		[ "$(nodes_with_config 1)" = 8 ] && return 0
		sleep 0.1
	done
	echo "cluster: nodes did not get the configuration; see $DIR/node-*.log" >&2
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

# is_child PID: the process is one that this shell started. The pid of a
# process that has ended may belong to somebody else's process by now.
is_child() { [ "$(awk '/^PPid:/ { print $2 }' "/proc/$1/status" 2>/dev/null)" = $$ ]; }

# signal_children SIGNAL: to the processes of this cluster that still run
signal_children() {
	for pid in $(all_pids); do
		is_child "$pid" && kill "-$1" "$pid" 2>/dev/null
	done
}

any_alive() {
	for pid in $(all_pids); do
		is_child "$pid" && kill -0 "$pid" 2>/dev/null && return 0
	done
	return 1
}

cluster_stop() {
	[ -f "$DIR/pids" ] || return 0
	signal_children CONT
	signal_children TERM
	for _ in $(seq 1 50); do
		any_alive || break
		sleep 0.1
	done
	signal_children KILL
	wait 2>/dev/null
	: >"$DIR/pids"
}
