# Functions that run a small mesh as separate processes on this machine. The other
# scripts source this file and set RUN to a directory of their own before they call the
# functions.
#
# $RUN/slots lists the slots of the fleet, one "name service centre" per line. The n-th
# slot, counted from 0, uses the ports 21000+n (backend server), 22000+n (callers),
# 23000+n (requests of the backend server), 24000+n (other daemons) and 25000+n
# (operators).

LYCHEEHEAD=${LYCHEEHEAD:-bin/lycheehead}
STANDIN=${STANDIN:-bin/standin}
PLATFORM=127.0.0.1:20000
declare -A PIDS=()

# fleet_init SLOTS... creates keys, certificates, settings and the instance list. A
# slot is name:service:centre.
fleet_init() {
	rm -rf "$RUN"
	mkdir -p "$RUN"
	local slot
	for slot in "$@"; do
		echo "${slot//:/ }" >>"$RUN/slots"
	done
	"$LYCHEEHEAD" bundle key -o "$RUN/signer"
	"$LYCHEEHEAD" mesh authority -o "$RUN/authority"
	local n=0 name service centre
	while read -r name service centre; do
		"$LYCHEEHEAD" mesh issue "$name" -a "$RUN/authority" -o "$RUN/$name"
		fleet_settings "$n" "$name" "$service" "$centre" >"$RUN/$name.yaml"
		n=$((n + 1))
	done <"$RUN/slots"
	fleet_instances >"$RUN/instances.json"
}

# fleet_settings N NAME SERVICE CENTRE prints the settings of the daemon of slot N.
fleet_settings() {
	cat <<-END
		name: $2
		service: $3
		centre: $4
		listen:
		  caller: 127.0.0.1:$((22000 + $1))
		  local: 127.0.0.1:$((23000 + $1))
		  peer: 127.0.0.1:$((24000 + $1))
		  admin: 127.0.0.1:$((25000 + $1))
		backend: 127.0.0.1:$((21000 + $1))
		platform:
		  addresses: ["$PLATFORM"]
		  fleet: $(wc -l <"$RUN/slots")
		mesh:
		  authority: $RUN/authority.crt
		  certificate: $RUN/$2.crt
		  key: $RUN/$2.key
		signers: ["$(cat "$RUN/signer.pub")"]
		log:
		  level: ${LEVEL:-info}
		${POLICIES:+policies: $POLICIES}
	END
}

# fleet_instances prints the platform's instance list.
fleet_instances() {
	local n=0 name service centre comma=""
	echo '{"instances":['
	while read -r name service centre; do
		echo "$comma{\"name\":\"$name\",\"service\":\"$service\",\"centre\":\"$centre\",\"peer\":\"127.0.0.1:$((24000 + n))\",\"caller\":\"127.0.0.1:$((22000 + n))\"}"
		comma=,
		n=$((n + 1))
	done <"$RUN/slots"
	echo ']}'
}

# slot_index NAME prints the index of a slot.
slot_index() { awk -v name="$1" '$1 == name { print NR - 1 }' "$RUN/slots"; }

# fleet_addresses PORT prints an address per slot. PORT is the port of the first slot.
fleet_addresses() {
	local n
	for n in $(seq 0 $(($(wc -l <"$RUN/slots") - 1))); do
		echo "127.0.0.1:$(($1 + n))"
	done
}

# start_process KEY COMMAND... starts a background process and records its PID as
# PIDS[KEY].
start_process() {
	local key=$1
	shift
	"$@" >>"$RUN/$key.log" 2>&1 &
	PIDS[$key]=$!
}

# start_platform starts the stand-in platform and publishes the instance list.
start_platform() {
	start_process platform "$STANDIN" platform --listen "$PLATFORM"
	wait_port 20000
	"$STANDIN" publish --to "$PLATFORM" --instances "$RUN/instances.json"
}

# start_backend NAME starts the stand-in backend server of a slot.
start_backend() {
	local n
	n=$(slot_index "$1")
	start_process "backend-$1" "$STANDIN" backend --listen "127.0.0.1:$((21000 + n))" --local "127.0.0.1:$((23000 + n))" \
		--slots "${SLOTS:-9}" --connections "${CONNECTIONS:-120}" --work "${WORK:-5ms}"
}

# start_daemon NAME starts the daemon of a slot.
start_daemon() { start_process "daemon-$1" "$LYCHEEHEAD" run -c "$RUN/$1.yaml"; }

# stop_process KEY [SIGNAL] signals a process that start_process started, waits for it
# and returns its exit code.
stop_process() {
	local pid=${PIDS[$1]:-}
	[ -n "$pid" ] || return 0
	kill "-${2:-TERM}" "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	local code=$?
	unset "PIDS[$1]"
	return "$code"
}

# start_fleet starts the platform and all backend servers and daemons.
start_fleet() {
	local name service centre
	start_platform
	while read -r name service centre; do
		start_backend "$name"
		start_daemon "$name"
	done <"$RUN/slots"
}

# wait_fleet_ready SECONDS waits until all daemons are ready. It fails after the given
# time.
wait_fleet_ready() {
	local end=$(($(date +%s) + $1)) address
	for address in $(fleet_addresses 25000); do
		until curl -sf -o /dev/null "http://$address/ready"; do
			[ "$(date +%s)" -lt "$end" ] || { echo "daemon at $address is not ready" >&2; return 1; }
			sleep 0.1
		done
	done
}

# wait_fleet_version NUMBER SECONDS waits until a version is in force on all daemons.
# It fails after the given time.
wait_fleet_version() {
	local end=$(($(date +%s) + $2)) address
	for address in $(fleet_addresses 25000); do
		until curl -sf "http://$address/status" | grep -Eq "\"version\": *\"$1\""; do
			[ "$(date +%s)" -lt "$end" ] || { echo "daemon at $address does not hold version $1" >&2; return 1; }
			sleep 0.05
		done
	done
}

# sum_fleet_traffic FIELDS prints the sum of traffic counters over the statuses of all
# daemons. FIELDS is a regular expression that matches the names of the counters.
sum_fleet_traffic() {
	local address total=0
	for address in $(fleet_addresses 25000); do
		total=$((total + $(curl -sf "http://$address/status" | tr -d ' ",' |
			awk -F: -v f="^($1)\$" '$1 ~ f {t += $2} END {print t + 0}')))
	done
	echo "$total"
}

# wait_port PORT waits until a process listens on a port.
wait_port() {
	local try
	for try in $(seq 100); do
		(exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
		sleep 0.05
	done
	echo "nothing listens at port $1" >&2
	return 1
}

# stop_fleet terminates all processes that start_process started.
stop_fleet() {
	local key
	for key in "${!PIDS[@]}"; do
		kill "${PIDS[$key]}" 2>/dev/null
	done
	for key in "${!PIDS[@]}"; do
		wait "${PIDS[$key]}" 2>/dev/null
	done
	PIDS=()
}

# sign_and_publish FILE signs a bundle and publishes the release.
sign_and_publish() {
	local folder="$RUN/release-$(basename "$1" .yaml)"
	"$LYCHEEHEAD" bundle sign "$1" -k "$RUN/signer" -o "$folder" &&
		"$STANDIN" publish --to "$PLATFORM" --release "$folder"
}
