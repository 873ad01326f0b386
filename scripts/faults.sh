#!/usr/bin/env bash
# Real processes under failure: kill -9, stop and continue, the platform away,
# stale and answering older, herds restarting, operators' races. Exits non-zero on
# a broken promise. About two minutes.
set -u
cd "$(dirname "$0")/.."
RUN=run/faults
. scripts/fleet.sh
. scripts/verbund.sh
FAILED=0

finish() {
	fleet_down
	exit "$FAILED"
}
trap finish EXIT
trap 'exit 130' INT TERM

# check NAME COMMAND... runs a check and notes a failure.
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

plan() { # seconds
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

# under_load NAME SECONDS FUNCTION drives load while the function does its worst,
# and fails if anything was lost, doubled, misreported, leaked or crossed.
under_load() {
	local name=$1
	plan "$2" >"$RUN/plan.yaml"
	"$LYCHEEHEAD" load "$RUN/plan.yaml" -o "$RUN/reports.json" >"$RUN/table.txt" &
	local loader=$!
	"$3"
	wait "$loader"
	check "$name" [ $? -eq 0 ]
	tail -n 1 "$RUN/table.txt"
}

versions() { # prints all versions in force
	local address
	for address in $(fleet_addresses 25000); do
		curl -sf "http://$address/status" | tr -d ' ",' | sed -n 's/^version://p'
	done | sort -n | uniq -c | tr -s ' '
}

next_version() { # publishes version $1, with data centre $2 out
	verbund_bundle "$1" "${2:-none}" >"$RUN/v.yaml"
	publish "$RUN/v.yaml" >/dev/null
}

kills() {
	local name
	sleep 2
	for name in doku-2 termin-3 messung-1; do
		stop_one "daemon-$name" KILL
		sleep 0.5
		daemon_up "$name"
		sleep 1
	done
	# A whole data centre at once.
	for name in doku-3 doku-4 termin-2 messung-2; do stop_one "daemon-$name" KILL; done
	sleep 1
	for name in doku-3 doku-4 termin-2 messung-2; do daemon_up "$name"; done
	sleep 2
}

pauses() {
	sleep 1
	kill -STOP "${PIDS[daemon-doku-1]}" "${PIDS[daemon-termin-1]}"
	sleep 3
	kill -CONT "${PIDS[daemon-doku-1]}" "${PIDS[daemon-termin-1]}"
	sleep 1
	kill -STOP "${PIDS[backend-termin-2]}"
	sleep 2
	kill -CONT "${PIDS[backend-termin-2]}"
}

crashes() {
	sleep 1
	local n
	for n in 0 5 7 10; do
		curl -s -o /dev/null "http://127.0.0.1:$((21000 + n))/admin/crash"
		sleep 1
	done
}

races() {
	# Versions cross, data centres go out and come back, the platform comes and
	# goes meanwhile.
	next_version 5 aug
	next_version 6
	"$STANDIN" publish --to "$PLATFORM" --mode away
	sleep 2
	"$STANDIN" publish --to "$PLATFORM" --mode ok
	next_version 7 ros
	next_version 8
	# An older one is published again, once the newer one has been read.
	fleet_version 8 11 && next_version 7 ros
	sleep 2
}

herd() {
	local name
	while read -r name _; do stop_one "daemon-$name" KILL; done <"$RUN/slots" 2>/dev/null
	while read -r name _; do daemon_up "$name"; done <"$RUN/slots"
}

fleet_init "${VERBUND_SLOTS[@]}"
fleet_up 2>/dev/null
verbund_bundle 1 >"$RUN/v1.yaml"
publish "$RUN/v1.yaml" >/dev/null || exit 1
fleet_ready 20 || exit 1
sleep 3

under_load "daemons killed, one by one and a data centre at once" 14 kills 2>/dev/null
fleet_ready 20 || FAILED=1
sleep 3
under_load "daemons and a backend server paused" 12 pauses 2>/dev/null
under_load "backend servers crash without warning" 8 crashes 2>/dev/null

next_version 2
check "version 2 in force" fleet_version 2 11
"$STANDIN" publish --to "$PLATFORM" --mode stale
next_version 3
"$STANDIN" publish --to "$PLATFORM" --mode ok
check "version 3 in force" fleet_version 3 11
"$STANDIN" publish --to "$PLATFORM" --mode older
for name in doku-1 doku-4 termin-1 messung-3; do stop_one "daemon-$name" KILL; daemon_up "$name"; done 2>/dev/null
fleet_ready 20 || FAILED=1
check "restarted daemons do not go back while the platform answers older" [ "$(versions)" = " 12 3" ]
"$STANDIN" publish --to "$PLATFORM" --mode away
for name in doku-2 termin-4; do stop_one "daemon-$name" KILL; done 2>/dev/null
"$STANDIN" publish --to "$PLATFORM" --mode ok
for name in doku-2 termin-4; do daemon_up "$name"; done
fleet_ready 20 || FAILED=1

under_load "operators' races" 9 races
check "version 8 in force after the races" fleet_version 8 11
sleep 2
check "no daemon takes the older one that was published again" [ "$(versions)" = " 12 8" ]
# What is published again after 8 is what the platform now holds: publish 9.
next_version 9
check "version 9 in force" fleet_version 9 11
herd 2>/dev/null
check "all daemons restart at once and serve" fleet_ready 20
check "after the herd version 9 is in force" fleet_version 9 11
read -r _ refused most <<<"$(curl -s "http://$PLATFORM/admin/calls")"
check "the platform was never asked more than 2000 times a second ($most)" [ "$most" -le 2000 ]
check "the platform refused no call ($refused)" [ "$refused" -eq 0 ]
sleep 3
under_load "quiet after all that" 4 true
for name in doku-1 termin-2 messung-3; do
	check "planned stop of $name is graceful" stop_one "daemon-$name" TERM
done
check "no key in any log" bash -c "! grep -qF -f <(cat $RUN/key-*) $RUN/*.log"
