#!/usr/bin/env bash
# Tests separate processes under faults: processes are killed with SIGKILL, or stopped
# and continued; the platform is unavailable, answers with stale values or with older
# versions; all daemons restart at once; versions are published in quick succession.
# Exits with a non-zero status if a guarantee was violated. Takes about two minutes.
set -u
cd "$(dirname "$0")/.."
RUN=run/faults
. scripts/fleet.sh
. scripts/verbund.sh
FAILED=0

cleanup() {
	stop_fleet
	exit "$FAILED"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# check NAME COMMAND... runs a command, prints whether it succeeded and records a
# failure in FAILED.
check() {
	local name=$1
	shift
	if "$@"; then
		echo "ok: $name"
	else
		echo "FAILED: $name"
		FAILED=1
	fi
}

# print_plan SECONDS prints a load plan.
print_plan() {
	printf 'duration: %ss\ndeadline: 4s\nresends: 3\nseed: 3\ntargets:\n' "$1"
	fleet_addresses 22000 | sed 's/^/  - /'
	echo "backends:"
	fleet_addresses 21000 | sed 's/^/  - /'
	cat <<-END
		streams:
		  - {customer: kunde-1, key: $(customer_key kunde-1), path: /doku/plan, rate: 80}
		  - {customer: kunde-2, key: $(customer_key kunde-2), path: /termin/liste, rate: 60}
		  - {customer: kunde-3, key: $(customer_key kunde-3), path: /termin/buchung, method: POST, rate: 20, body: 300, once: true}
		  - {customer: kunde-4, key: $(customer_key kunde-4), path: /messung/upload, method: POST, rate: 6, body: 200000, once: true}
		  - {customer: kunde-5, key: $(customer_key kunde-5), path: /termin/roh, method: POST, rate: 10, body: 100}
	END
}

# check_under_load NAME SECONDS FUNCTION generates load while the function injects
# faults. The check fails if a guarantee was violated; Report in schema/load.proto lists
# the violations.
check_under_load() {
	local name=$1
	print_plan "$2" >"$RUN/plan.yaml"
	"$LYCHEEHEAD" load "$RUN/plan.yaml" -o "$RUN/reports.json" >"$RUN/table.txt" &
	local loader=$!
	"$3"
	wait "$loader"
	check "$name" [ $? -eq 0 ]
	tail -n 1 "$RUN/table.txt"
}

# count_versions prints each version in force, preceded by the number of daemons.
count_versions() {
	local address
	for address in $(fleet_addresses 25000); do
		curl -sf "http://$address/status" | tr -d ' ",' | sed -n 's/^version://p'
	done | sort -n | uniq -c | tr -s ' '
}

# publish_version VERSION [OUT_CENTRE] publishes a version in which the data centre
# OUT_CENTRE is out of service.
publish_version() {
	verbund_bundle "$1" "${2:-none}" >"$RUN/v.yaml"
	sign_and_publish "$RUN/v.yaml" >/dev/null
}

kill_daemons() {
	local name
	sleep 2
	for name in doku-2 termin-3 messung-1; do
		stop_process "daemon-$name" KILL
		sleep 0.5
		start_daemon "$name"
		sleep 1
	done
	# All daemons of a data centre at the same time.
	for name in doku-3 doku-4 termin-2 messung-2; do stop_process "daemon-$name" KILL; done
	sleep 1
	for name in doku-3 doku-4 termin-2 messung-2; do start_daemon "$name"; done
	sleep 2
}

pause_processes() {
	sleep 1
	kill -STOP "${PIDS[daemon-doku-1]}" "${PIDS[daemon-termin-1]}"
	sleep 3
	kill -CONT "${PIDS[daemon-doku-1]}" "${PIDS[daemon-termin-1]}"
	sleep 1
	kill -STOP "${PIDS[backend-termin-2]}"
	sleep 2
	kill -CONT "${PIDS[backend-termin-2]}"
}

crash_backends() {
	sleep 1
	local n
	for n in 0 5 7 10; do
		curl -s -o /dev/null "http://127.0.0.1:$((21000 + n))/admin/crash"
		sleep 1
	done
}

race_versions() {
	# Publish versions before all daemons have the previous one. Meanwhile, data centres
	# go out of service and back, and the platform becomes unavailable.
	publish_version 5 aug
	publish_version 6
	"$STANDIN" publish --to "$PLATFORM" --mode away
	sleep 2
	"$STANDIN" publish --to "$PLATFORM" --mode ok
	publish_version 7 ros
	publish_version 8
	# Publish an older version again once the newer one has been read.
	wait_fleet_version 8 11 && publish_version 7 ros
	sleep 2
}

restart_all_daemons() {
	local name
	while read -r name _; do stop_process "daemon-$name" KILL; done <"$RUN/slots" 2>/dev/null
	while read -r name _; do start_daemon "$name"; done <"$RUN/slots"
}

fleet_init "${VERBUND_SLOTS[@]}"
start_fleet 2>/dev/null
verbund_bundle 1 >"$RUN/v1.yaml"
sign_and_publish "$RUN/v1.yaml" >/dev/null || exit 1
wait_fleet_ready 20 || exit 1
sleep 3

check_under_load "daemons killed, one by one and a data centre at once" 14 kill_daemons 2>/dev/null
wait_fleet_ready 20 || FAILED=1
sleep 3
check_under_load "daemons and a backend server paused" 12 pause_processes 2>/dev/null
check_under_load "backend servers crash without warning" 8 crash_backends 2>/dev/null

publish_version 2
check "version 2 in force" wait_fleet_version 2 11
"$STANDIN" publish --to "$PLATFORM" --mode stale
publish_version 3
"$STANDIN" publish --to "$PLATFORM" --mode ok
check "version 3 in force" wait_fleet_version 3 11
"$STANDIN" publish --to "$PLATFORM" --mode older
for name in doku-1 doku-4 termin-1 messung-3; do stop_process "daemon-$name" KILL; start_daemon "$name"; done 2>/dev/null
wait_fleet_ready 20 || FAILED=1
check "restarted daemons do not go back while the platform answers older" [ "$(count_versions)" = " 12 3" ]
"$STANDIN" publish --to "$PLATFORM" --mode away
for name in doku-2 termin-4; do stop_process "daemon-$name" KILL; done 2>/dev/null
"$STANDIN" publish --to "$PLATFORM" --mode ok
for name in doku-2 termin-4; do start_daemon "$name"; done
wait_fleet_ready 20 || FAILED=1

check_under_load "operators' races" 9 race_versions
check "version 8 in force after the races" wait_fleet_version 8 11
sleep 2
check "no daemon takes the older one that was published again" [ "$(count_versions)" = " 12 8" ]
# The platform now holds version 7, which was published again after 8, so a newer
# version is published.
publish_version 9
check "version 9 in force" wait_fleet_version 9 11
restart_all_daemons 2>/dev/null
check "all daemons restart at once and serve" wait_fleet_ready 20
check "after the herd version 9 is in force" wait_fleet_version 9 11
read -r _ refused most <<<"$(curl -s "http://$PLATFORM/admin/calls")"
check "the platform was never asked more than 2000 times a second ($most)" [ "$most" -le 2000 ]
check "the platform refused no call ($refused)" [ "$refused" -eq 0 ]
sleep 3
check_under_load "quiet after all that" 4 true
for name in doku-1 termin-2 messung-3; do
	check "planned stop of $name is graceful" stop_process "daemon-$name" TERM
done
check "no key in any log" bash -c "! grep -qF -f <(cat $RUN/key-*) $RUN/*.log"
