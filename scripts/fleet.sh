# Functions to run a small mesh as separate processes on this machine. Sourced
# by the other scripts, which set RUN to a folder of their own first.
#
# A fleet is a list of slots, "name service centre" a line, in $RUN/slots. The
# n-th slot uses the ports 21000+n (backend server), 22000+n (callers), 23000+n
# (the backend server's own calls), 24000+n (daemons) and 25000+n (operators).

LYCHEEHEAD=${LYCHEEHEAD:-bin/lycheehead}
STANDIN=${STANDIN:-bin/standin}
PLATFORM=127.0.0.1:20000
declare -A PIDS=()

# fleet_init SLOTS... makes keys and certificates. A slot is name:service:centre.
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

# fleet_settings N NAME SERVICE CENTRE prints a daemon's settings.
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

# fleet_instances prints the instance list.
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

# fleet_number NAME prints a slot's number.
fleet_number() { awk -v name="$1" '$1 == name { print NR - 1 }' "$RUN/slots"; }

# fleet_port KIND prints a port of each slot, KIND being the first port.
fleet_addresses() {
	local n
	for n in $(seq 0 $(($(wc -l <"$RUN/slots") - 1))); do
		echo "127.0.0.1:$(($1 + n))"
	done
}

# start KEY COMMAND... starts a process in the background under a key.
start() {
	local key=$1
	shift
	"$@" >>"$RUN/$key.log" 2>&1 &
	PIDS[$key]=$!
}

platform_up() {
	start platform "$STANDIN" platform --listen "$PLATFORM"
	wait_port 20000
	"$STANDIN" publish --to "$PLATFORM" --instances "$RUN/instances.json"
}

# backend_up NAME
backend_up() {
	local n
	n=$(fleet_number "$1")
	start "backend-$1" "$STANDIN" backend --listen "127.0.0.1:$((21000 + n))" --local "127.0.0.1:$((23000 + n))" \
		--slots "${SLOTS:-9}" --connections "${CONNECTIONS:-120}" --work "${WORK:-5ms}"
}

# daemon_up NAME
daemon_up() { start "daemon-$1" "$LYCHEEHEAD" run -c "$RUN/$1.yaml"; }

# stop_one KEY SIGNAL ends a process that was started here and waits for it.
stop_one() {
	local pid=${PIDS[$1]:-}
	[ -n "$pid" ] || return 0
	kill "-${2:-TERM}" "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	local code=$?
	unset "PIDS[$1]"
	return "$code"
}

fleet_up() {
	local name service centre
	platform_up
	while read -r name service centre; do
		backend_up "$name"
		daemon_up "$name"
	done <"$RUN/slots"
}

# fleet_ready SECONDS waits until all daemons serve.
fleet_ready() {
	local end=$(($(date +%s) + $1)) address
	for address in $(fleet_addresses 25000); do
		until curl -sf -o /dev/null "http://$address/ready"; do
			[ "$(date +%s)" -lt "$end" ] || { echo "daemon at $address is not ready" >&2; return 1; }
			sleep 0.1
		done
	done
}

# fleet_version NUMBER SECONDS waits until all daemons hold a version.
fleet_version() {
	local end=$(($(date +%s) + $2)) address
	for address in $(fleet_addresses 25000); do
		until curl -sf "http://$address/status" | grep -Eq "\"version\": *\"$1\""; do
			[ "$(date +%s)" -lt "$end" ] || { echo "daemon at $address does not hold version $1" >&2; return 1; }
			sleep 0.05
		done
	done
}

# fleet_bytes FIELDS adds up fields of the traffic in all daemons' statuses.
fleet_bytes() {
	local address total=0
	for address in $(fleet_addresses 25000); do
		total=$((total + $(curl -sf "http://$address/status" | tr -d ' ",' |
			awk -F: -v f="^($1)\$" '$1 ~ f {t += $2} END {print t + 0}')))
	done
	echo "$total"
}

wait_port() {
	local try
	for try in $(seq 100); do
		(exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
		sleep 0.05
	done
	echo "nothing listens at port $1" >&2
	return 1
}

# fleet_down ends all processes that were started here.
fleet_down() {
	local key
	for key in "${!PIDS[@]}"; do
		kill "${PIDS[$key]}" 2>/dev/null
	done
	for key in "${!PIDS[@]}"; do
		wait "${PIDS[$key]}" 2>/dev/null
	done
	PIDS=()
}

# publish FILE signs a bundle off and publishes it.
publish() {
	local folder="$RUN/release-$(basename "$1" .yaml)"
	"$LYCHEEHEAD" bundle sign "$1" -k "$RUN/signer" -o "$folder" &&
		"$STANDIN" publish --to "$PLATFORM" --release "$folder"
}
