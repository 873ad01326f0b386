#!/usr/bin/env bash
# Measures the control bytes that calls take for limits: 12 daemons, 240 calls a
# second with keys, against the same time without. Half a minute.
set -u
cd "$(dirname "$0")/.."
RUN=run/loans
. scripts/fleet.sh
. scripts/verbund.sh
trap fleet_down EXIT
trap 'exit 130' INT TERM

fleet_init "${VERBUND_SLOTS[@]}"
fleet_up
verbund_bundle 1 >"$RUN/v1.yaml"
publish "$RUN/v1.yaml" >/dev/null || exit 1
fleet_ready 20 || exit 1
sleep 30
c0=$(fleet_bytes 'control_in|control_out')
sleep 10
c1=$(fleet_bytes 'control_in|control_out')
{
	printf 'duration: 10s\nseed: 5\ntargets:\n'
	fleet_addresses 22000 | sed 's/^/  - /'
	printf 'streams:\n'
	for n in 1 2; do
		echo "  - {customer: kunde-$n, key: $(customer_key "kunde-$n"), path: /doku/plan, rate: 120}"
	done
} >"$RUN/plan.yaml"
"$LYCHEEHEAD" load "$RUN/plan.yaml" >"$RUN/table.txt" || exit 1
c2=$(fleet_bytes 'control_in|control_out')
asked=$(awk '/kunde/ {t += $3} END {print t}' "$RUN/table.txt")
awk -v a="$asked" -v q="$((c1 - c0))" -v l="$((c2 - c1))" 'BEGIN {
	printf "%d calls: %.0f bytes of control messages a call, both directions and both sides\n", a, (l - q) / a
}'
