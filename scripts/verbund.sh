# Functions for the Verbund deployment: three data centres and three services, in the
# sizes that its requirements state. To be sourced after fleet.sh.

VERBUND_SLOTS=(
	doku-1:doku:muc doku-2:doku:muc doku-3:doku:aug doku-4:doku:aug doku-5:doku:ros
	termin-1:termin:muc termin-2:termin:aug termin-3:termin:ros termin-4:termin:muc
	messung-1:messung:muc messung-2:messung:aug messung-3:messung:ros
)

# customer_key NAME prints the key of a customer. The key is generated at the first
# call of a run.
customer_key() {
	[ -f "$RUN/key-$1" ] || head -c 18 /dev/urandom | base64 | tr '+/' 'ab' >"$RUN/key-$1"
	cat "$RUN/key-$1"
}

# verbund_bundle VERSION [OUT_CENTRE [CUSTOMER]] prints a bundle. The data centre
# OUT_CENTRE is out of service, and CUSTOMER has no key.
verbund_bundle() {
	local out=${2:-none} without=${3:-none} centre name service n
	echo "version: $1"
	echo "centres:"
	for centre in muc aug ros; do
		echo "  - {name: $centre, region: bayern, out: $([ "$centre" = "$out" ] && echo true || echo false)}"
	done
	echo "backends:"
	while read -r name service centre; do
		echo "  - {name: $name, service: $service, centre: $centre, slots: 9}"
	done <"$RUN/slots"
	cat <<-END
		routes:
		  - {prefix: /doku, service: doku, timeout: 5s}
		  - {prefix: /termin, service: termin, timeout: 5s}
		  - {prefix: /messung, service: messung, timeout: 10s}
		  - {prefix: /doku/public, service: doku, open: true, timeout: 5s}
		customers:
	END
	for n in 1 2 3 4 5 6 7 8; do
		local rate=100 keys
		[ "$n" -le 2 ] && rate=400
		keys="\"$(customer_key "kunde-$n" | "$LYCHEEHEAD" bundle digest)\""
		[ "kunde-$n" = "$without" ] && keys=""
		echo "  - {name: kunde-$n, rate: $rate, burst: $rate, weight: $((rate / 100)), keys: [$keys]}"
	done
}
