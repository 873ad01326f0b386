#!/usr/bin/env bash
# Takes the four measurements of docs/MEASURES.md on separate processes, for the sizes
# of both deployments and in comparison with the naive policies in the same run. Writes
# run/measure/results.jsonl, a table, and a plot per run. Takes about three minutes.
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/verbund.sh
METER=${METER:-bin/meter}
OUT=run/measure
QUIET=6
CHANGES=10
LOST=6
mkdir -p "$OUT"
: >"$OUT/results.jsonl"
trap stop_fleet EXIT
trap 'exit 130' INT TERM

COMPILERS_SLOTS=(
	tables-1:tables:kigali-a tables-2:tables:kigali-b tables-3:tables:kigali-c tables-4:tables:kigali-a
	registry-1:registry:kigali-a registry-2:registry:kigali-b registry-3:registry:kigali-c
	scriptorium-1:scriptorium:kigali-a scriptorium-2:scriptorium:kigali-b scriptorium-3:scriptorium:kigali-c
)
NAIVE='{routing: random, gate: open, limits: static, feed: platform}'

# print_bundle VERSION [OUT_CENTRE] prints a bundle of the current fleet in which the
# data centre OUT_CENTRE is out of service.
print_bundle() {
	local name service centre n
	echo "version: $1"
	echo "centres:"
	awk '{print $3}' "$RUN/slots" | sort -u | while read -r centre; do
		echo "  - {name: $centre, region: r, out: $([ "$centre" = "${2:-}" ] && echo true || echo false)}"
	done
	echo "backends:"
	while read -r name service centre; do
		echo "  - {name: $name, service: $service, centre: $centre, slots: $SLOTS}"
	done <"$RUN/slots"
	echo "routes:"
	awk '{print $2}' "$RUN/slots" | sort -u | while read -r service; do
		echo "  - {prefix: /$service, service: $service, timeout: 5s}"
	done
	echo "customers:"
	for n in 1 2 3 4 5 6 7 8; do
		echo "  - {name: kunde-$n, rate: $((n <= 2 ? 120 : 40)), burst: $((n <= 2 ? 120 : 40)), keys: [\"$(customer_key "kunde-$n" | "$LYCHEEHEAD" bundle digest)\"]}"
	done
}

# save_statuses WHEN saves the status of each daemon as $RUN/WHEN-NAME.json.
save_statuses() {
	local name
	while read -r name _; do
		curl -sf "http://127.0.0.1:$((25000 + $(slot_index "$name")))/status" >"$RUN/$1-$name.json"
	done <"$RUN/slots"
}

# print_plan prints the load plan. Each customer sends at half its rate, except kunde-8,
# which sends at three times its rate.
print_plan() {
	local n service
	printf 'duration: 20s\ndeadline: 3s\nresends: 3\nseed: 7\ntargets:\n'
	fleet_addresses 22000 | sed 's/^/  - /'
	echo "backends:"
	fleet_addresses 21000 | sed 's/^/  - /'
	echo "streams:"
	for n in 1 2 3 4 5 6 7 8; do
		awk '{print $2}' "$RUN/slots" | sort -u | while read -r service; do
			local rate=$((n <= 2 ? 20 : 7)) greedy=false
			[ "$n" = 8 ] && rate=40 && greedy=true
			echo "  - {customer: kunde-$n, key: $(customer_key "kunde-$n"), path: /$service, rate: $rate, greedy: $greedy}"
		done
	done
	# POST requests, such as bookings and uploads, may run at most once.
	service=$(awk 'NR==1 {print $2}' "$RUN/slots")
	for n in 3 4; do
		echo "  - {customer: kunde-$n, key: $(customer_key "kunde-$n"), path: /$service, method: POST, rate: 3, body: 50000, once: true}"
	done
}

# measure_run DEPLOYMENT POLICY CENTRE SLOTS... measures one run, in which the data
# centre CENTRE is lost and returns.
measure_run() {
	local deployment=$1 policy=$2 centre=$3 version name loader
	shift 3
	RUN="$OUT/$deployment-$policy"
	POLICIES=""
	[ "$policy" = naive ] && POLICIES=$NAIVE
	fleet_init "$@"
	start_fleet
	print_bundle 1 >"$RUN/v1.yaml"
	sign_and_publish "$RUN/v1.yaml" >/dev/null || exit 1
	wait_fleet_ready 20 || exit 1
	sleep 3
	save_statuses idle
	sleep "$QUIET"
	save_statuses before
	local begin
	begin=$(date +%s%N)
	for version in $(seq 2 $((CHANGES + 1))); do
		print_bundle "$version" | sed "s/rate: 40, burst: 40/rate: 40, burst: $((40 + version))/" >"$RUN/v.yaml"
		"$LYCHEEHEAD" bundle sign "$RUN/v.yaml" -k "$RUN/signer" -o "$RUN/release" >/dev/null
		"$STANDIN" publish --to "$PLATFORM" --release "$RUN/release" --stamp "$RUN/published"
		sleep 0.6
	done
	sleep 2
	save_statuses after
	local busy=$((($(date +%s%N) - begin) / 1000000))
	print_plan >"$RUN/plan.yaml"
	"$LYCHEEHEAD" load "$RUN/plan.yaml" -o "$RUN/report.json" >"$RUN/table.txt" &
	loader=$!
	sleep "$LOST"
	# The data centre is lost without warning. Operators take it out of service a second
	# later and put it back two seconds after its daemons have been started again.
	while read -r name _ at; do
		[ "$at" = "$centre" ] && stop_process "daemon-$name" KILL && true
	done <"$RUN/slots" 2>/dev/null
	sleep 1
	print_bundle 20 "$centre" >"$RUN/v20.yaml" && sign_and_publish "$RUN/v20.yaml" >/dev/null
	sleep 4
	while read -r name _ at; do
		[ "$at" = "$centre" ] && start_daemon "$name"
	done <"$RUN/slots"
	sleep 2
	print_bundle 21 >"$RUN/v21.yaml" && sign_and_publish "$RUN/v21.yaml" >/dev/null
	wait "$loader"
	local resident cpu pid count=0
	resident=0
	cpu=0
	while read -r name _ at; do
		[ "$at" = "$centre" ] && continue
		pid=${PIDS[daemon-$name]}
		resident=$((resident + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")))
		cpu=$((cpu + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
		count=$((count + 1))
	done <"$RUN/slots"
	local life
	life=$((($(date +%s%N) - begin) / 1000000 + QUIET * 1000))
	"$METER" run "$RUN" --deployment "$deployment" --policy "$policy" --quiet "${QUIET}s" --busy "${busy}ms" --lost "$LOST" \
		--processor "$(awk -v c="$cpu" -v n="$count" -v l="$life" 'BEGIN {print c * 10 / n / l * 100}')" \
		--memory "$(awk -v r="$resident" -v n="$count" 'BEGIN {print r / n / 1024}')" >>"$OUT/results.jsonl" || exit 1
	"$METER" plot "$RUN/report.json" -o "$RUN/service.png"
	stop_fleet
}

SLOTS=9 CONNECTIONS=120 WORK=5ms
measure_run verbund lycheehead aug "${VERBUND_SLOTS[@]}"
measure_run verbund naive aug "${VERBUND_SLOTS[@]}"
SLOTS=6 CONNECTIONS=110 WORK=5ms
measure_run compilers lycheehead kigali-b "${COMPILERS_SLOTS[@]}"
measure_run compilers naive kigali-b "${COMPILERS_SLOTS[@]}"
grep '"verbund"' "$OUT/results.jsonl" >"$OUT/verbund.jsonl"
grep '"compilers"' "$OUT/results.jsonl" >"$OUT/compilers.jsonl"
"$METER" compare "$OUT/verbund.jsonl"
"$METER" compare "$OUT/compilers.jsonl"
