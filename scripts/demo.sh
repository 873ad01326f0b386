#!/usr/bin/env bash
# Runs a mesh of separate processes for half a minute. Signs and publishes a bundle,
# generates load, takes a data centre out of service and back, withdraws a key, and
# compares the outcomes reported to callers with the requests that the backend servers
# ran. Exits with 0 only if no guarantee was violated and every other check passed.
set -u
cd "$(dirname "$0")/.."
RUN=run/demo
. scripts/fleet.sh
. scripts/verbund.sh

cleanup() {
	local code=$?
	stop_fleet
	exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fleet_init "${VERBUND_SLOTS[@]}"
start_fleet
verbund_bundle 1 >"$RUN/v1.yaml"
sign_and_publish "$RUN/v1.yaml" || exit 1
wait_fleet_ready 15 || exit 1
echo "12 daemons in 3 data centres serve version 1"

# A bundle with faults cannot be signed.
verbund_bundle 2 | sed 's/service: termin, timeout/service: nirgends, timeout/' >"$RUN/bad.yaml"
if "$LYCHEEHEAD" bundle sign "$RUN/bad.yaml" -k "$RUN/signer" -o "$RUN/bad" 2>"$RUN/bad.txt"; then
	echo "a bundle with faults was signed"
	exit 1
fi
echo "a bundle with faults is refused:"
sed -n 2,3p "$RUN/bad.txt"

# print_stream CUSTOMER METHOD PATH RATE BODY ONCE [STOP] prints a stream of the load
# plan.
print_stream() {
	cat <<-END
		  - customer: $1
		    key: $(customer_key "$1")
		    method: $2
		    path: $3
		    rate: $4
		    body: $5
		    once: $6
		    ${7:+stop: $7}
	END
}
{
	echo "duration: 18s"
	echo "deadline: 4s"
	echo "resends: 3"
	echo "seed: 1"
	echo "targets:"
	# All daemons are targets, including those of the data centre that is taken out.
	fleet_addresses 22000 | sed 's/^/  - /'
	echo "backends:"
	fleet_addresses 21000 | sed 's/^/  - /'
	echo "streams:"
	print_stream kunde-1 GET /doku/plan 120 0 false
	print_stream kunde-2 GET /doku/plan 120 0 false
	print_stream kunde-3 POST /termin/buchung 20 200 true
	print_stream kunde-4 POST /messung/upload 8 300000 true
	print_stream kunde-5 GET /messung/liste 30 0 false
	print_stream kunde-6 GET /doku/plan 200 0 false
	print_stream kunde-7 GET /termin/liste 20 0 false 12s
	printf '  - {path: /doku/public/blatt, rate: 20}\n'
} >"$RUN/plan.yaml"
"$LYCHEEHEAD" load "$RUN/plan.yaml" -o "$RUN/report.json" >"$RUN/table.txt" &
LOAD=$!

sleep 4
verbund_bundle 2 aug >"$RUN/v2.yaml"
sign_and_publish "$RUN/v2.yaml" && wait_fleet_version 2 11 || exit 1
echo "aug is out"
sleep 4
verbund_bundle 3 >"$RUN/v3.yaml"
sign_and_publish "$RUN/v3.yaml" && wait_fleet_version 3 11 || exit 1
echo "aug is back"
sleep 3
verbund_bundle 4 none kunde-7 >"$RUN/v4.yaml"
sign_and_publish "$RUN/v4.yaml" && wait_fleet_version 4 11 || exit 1
code=$(curl -s -o /dev/null -w '%{http_code}' -H "Lycheehead-Key: $(customer_key kunde-7)" http://127.0.0.1:22000/termin/liste)
[ "$code" = 401 ] || { echo "a withdrawn key got $code"; exit 1; }
echo "kunde-7's key is withdrawn: 401"
"$LYCHEEHEAD" status 127.0.0.1:25000 | head -4
wait "$LOAD"
code=$?
cat "$RUN/table.txt"
[ "$code" -eq 0 ] || exit "$code"
for name in doku-1 messung-3; do
	stop_process "daemon-$name" TERM || { echo "daemon $name did not stop gracefully"; exit 1; }
done
echo "planned stops were graceful"
if grep -rlF -f <(cat "$RUN"/key-*) "$RUN"/*.log; then
	echo "a key stands in a log"
	exit 1
fi
echo "no key stands in any log"
