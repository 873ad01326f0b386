#!/usr/bin/env bash
# Measures, for docs/CAPACITY.md, how the resources that a daemon needs for control
# traffic without load grow with the size of the fleet and of the bundle. Prints two
# lines per size. Takes about six minutes. SIZES lists the numbers of daemons, as in
# SIZES="12 24". BALLASTS lists the numbers of backend servers that only the bundle and
# the instance list contain, without a daemon, in a fleet of 12 daemons.
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
METER=${METER:-bin/meter}
LEVEL=info
QUIET=15
CHANGES=10
trap stop_fleet EXIT
trap 'exit 130' INT TERM

# print_bundle VERSION SERVICES BALLAST prints a bundle with the fleet and BALLAST more
# backend servers without a daemon, with routes and customers in proportion. Each
# version changes the timeout of one route.
print_bundle() {
	local i
	echo "version: $1"
	echo "centres:"
	awk '{print $3}' "$RUN/slots" | sort -u | sed 's/.*/  - {name: &, region: r}/'
	echo "backends:"
	awk '{print "  - {name: " $1 ", service: " $2 ", centre: " $3 ", slots: 9}"}' "$RUN/slots"
	for ((i = 0; i < $3; i++)); do
		echo "  - {name: more-$i, service: more-$((i / 7)), centre: dc-$((i % 3)), slots: 9}"
	done
	echo "routes:"
	for ((i = 0; i < $2; i++)); do
		echo "  - {prefix: /s-$i, service: s-$i, timeout: $((i == 0 ? $1 : 5))s}"
	done
	for ((i = 0; i < $3 / 7; i++)); do
		echo "  - {prefix: /more-$i, service: more-$i, timeout: 5s}"
	done
	echo "customers:"
	for ((i = 0; i < 8 + $3 / 20; i++)); do
		echo "  - {name: kunde-$i, rate: 100, burst: 100, keys: [\"$(printf %064x "$i")\"]}"
	done
}

# sum_cpu_jiffies prints the CPU time of all daemons in jiffies, from /proc.
sum_cpu_jiffies() {
	local name total=0
	while read -r name _; do
		total=$((total + $(awk '{print $14 + $15}' "/proc/${PIDS[daemon-$name]}/stat")))
	done <"$RUN/slots"
	echo "$total"
}

# sum_resident_kb prints the resident memory of all daemons in kB, from /proc.
sum_resident_kb() {
	local name total=0
	while read -r name _; do
		total=$((total + $(awk '/VmRSS/ {print $2}' "/proc/${PIDS[daemon-$name]}/status")))
	done <"$RUN/slots"
	echo "$total"
}

# loopback_bytes prints the number of bytes received on the loopback interface.
loopback_bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }

# platform_calls prints the platform's counters: calls, refused calls and the most calls
# in a second.
platform_calls() { curl -sf "http://$PLATFORM/admin/calls"; }

# measure_size DAEMONS BALLAST measures one size of fleet and bundle.
measure_size() {
	local n=$1 ballast=$2 i name
	local slots=()
	for ((i = 0; i < n; i++)); do
		slots+=("slot-$i:s-$((i / 4)):dc-$((i % 3))")
	done
	RUN=run/capacity
	fleet_init "${slots[@]}"
	if [ "$ballast" -gt 0 ]; then
		sed -i '$d' "$RUN/instances.json"
		for ((i = 0; i < ballast; i++)); do
			echo ",{\"name\":\"more-$i\",\"service\":\"more-$((i / 7))\",\"centre\":\"dc-$((i % 3))\",\"peer\":\"127.0.0.1:1\",\"caller\":\"127.0.0.1:1\",\"gone\":true}"
		done >>"$RUN/instances.json"
		echo ']}' >>"$RUN/instances.json"
	fi
	start_platform
	while read -r name _; do start_daemon "$name"; done <"$RUN/slots"
	print_bundle 1 $(((n + 3) / 4)) "$ballast" >"$RUN/v1.yaml"
	sign_and_publish "$RUN/v1.yaml" >/dev/null || exit 1
	wait_fleet_ready 60 || exit 1
	sleep 35
	local j0 l0 c0 j1 l1 c1
	c0=$(sum_fleet_traffic 'control_in|control_out|platform_in')
	j0=$(sum_cpu_jiffies)
	l0=$(loopback_bytes)
	sleep "$QUIET"
	j1=$(sum_cpu_jiffies)
	l1=$(loopback_bytes)
	c1=$(sum_fleet_traffic 'control_in|control_out|platform_in')
	local p0 p1 version
	p0=$(platform_calls | cut -d' ' -f1)
	rm -f "$RUN/published"
	local begin
	begin=$(date +%s)
	for version in $(seq 2 $((CHANGES + 1))); do
		print_bundle "$version" $(((n + 3) / 4)) "$ballast" >"$RUN/v.yaml"
		"$LYCHEEHEAD" bundle sign "$RUN/v.yaml" -k "$RUN/signer" -o "$RUN/release" >/dev/null
		"$STANDIN" publish --to "$PLATFORM" --release "$RUN/release" --stamp "$RUN/published"
		sleep 1
	done
	sleep 1
	local took=$(($(date +%s) - begin))
	local c2 j2
	c2=$(sum_fleet_traffic 'control_in|control_out|platform_in')
	j2=$(sum_cpu_jiffies)
	p1=$(platform_calls | cut -d' ' -f1)
	local memory
	memory=$(sum_resident_kb)
	# Restart all daemons at the same time.
	for name in $(awk '{print $1}' "$RUN/slots"); do stop_process "daemon-$name" KILL; done 2>/dev/null
	begin=$(date +%s%N)
	while read -r name _; do start_daemon "$name"; done <"$RUN/slots"
	wait_fleet_ready 60 || exit 1
	local herd=$((($(date +%s%N) - begin) / 1000000))
	awk -v n="$n" -v b="$ballast" -v q="$QUIET" -v j="$((j1 - j0))" -v l="$((l1 - l0))" -v c="$((c1 - c0))" \
		-v cc="$((c2 - c1))" -v t="$took" -v jj="$((j2 - j1))" -v p="$((p1 - p0))" -v ch="$CHANGES" -v m="$memory" -v h="$herd" \
		-v most="$(platform_calls | cut -d' ' -f3)" 'BEGIN {
		idle = c / n / q
		printf "daemons %d, ballast %d: idle %.0f B/s as messages, %.0f B/s with all headers, %.2f%% of a core; ", n, b, idle, 2 * l / n / q, j / q / n
		printf "a change %.0f B, %.1f ms of processor, %.1f platform calls in all; ", (cc / n - idle * t) / ch, (jj / n - j / n / q * t) * 10 / ch, p / ch
		printf "%.1f MB; all restarted and ready in %d ms, at most %d platform calls a second\n", m / n / 1024, h, most
	}'
	"$METER" converged "$RUN" "$RUN/published"
	stop_fleet
}

for n in ${SIZES:-12 24 48 96}; do measure_size "$n" 0; done
for b in ${BALLASTS:-700 2100}; do measure_size 12 "$b"; done
