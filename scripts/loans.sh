#!/usr/bin/env bash
# Measures the control traffic that rate limits cause per request: 12 daemons with 240
# authenticated requests per second, less the traffic of the same time without
# requests. Takes about a minute.
set -u
cd "$(dirname "$0")/.."
RUN=run/loans
. scripts/fleet.sh
. scripts/verbund.sh
trap stop_fleet EXIT
trap 'exit 130' INT TERM

fleet_init "${VERBUND_SLOTS[@]}"
start_fleet
verbund_bundle 1 >"$RUN/v1.yaml"
sign_and_publish "$RUN/v1.yaml" >/dev/null || exit 1
wait_fleet_ready 20 || exit 1
sleep 30
c0=$(sum_fleet_traffic 'control_in|control_out')
sleep 10
c1=$(sum_fleet_traffic 'control_in|control_out')
{
	printf 'duration: 10s\nseed: 5\ntargets:\n'
	fleet_addresses 22000 | sed 's/^/  - /'
	printf 'streams:\n'
	for n in 1 2; do
		echo "  - {customer: kunde-$n, key: $(customer_key "kunde-$n"), path: /doku/plan, rate: 120}"
	done
} >"$RUN/plan.yaml"
"$LYCHEEHEAD" load "$RUN/plan.yaml" >"$RUN/table.txt" || exit 1
c2=$(sum_fleet_traffic 'control_in|control_out')
asked=$(awk '/kunde/ {t += $3} END {print t}' "$RUN/table.txt")
awk -v a="$asked" -v q="$((c1 - c0))" -v l="$((c2 - c1))" 'BEGIN {
	printf "%d calls: %.0f bytes of control messages a call, both directions and both sides\n", a, (l - q) / a
}'
