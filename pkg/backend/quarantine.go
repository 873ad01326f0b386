package backend

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// crashThreshold is the number of crashes at which a request is quarantined.
	crashThreshold = 2
	// quarantineDuration is how long a request stays quarantined after the last
	// crash.
	quarantineDuration = time.Minute
	// duplicateReportInterval is the time within which two reports are taken to be
	// of the same crash.
	duplicateReportInterval = 200 * time.Millisecond
	// crashRetention is how long a crash is remembered.
	crashRetention = 10 * time.Minute
)

// RequestKey identifies equal requests of one customer. The customer is part of
// the key so that crashes caused by one customer never quarantine requests of
// another.
type RequestKey struct {
	customer    string
	fingerprint uint64
}

// NewRequestKey returns the key of a customer's requests with the given
// fingerprint, a hash of what equal requests have in common. All daemons must compute
// it alike, since they report crashes to each other.
func NewRequestKey(customer string, fingerprint uint64) RequestKey {
	return RequestKey{customer: customer, fingerprint: fingerprint}
}

// Customer returns the name of the customer.
func (k RequestKey) Customer() string { return k.customer }

// Fingerprint returns the hash of what equal requests have in common.
func (k RequestKey) Fingerprint() uint64 { return k.fingerprint }

// crashRecord counts the crashes of backend servers while a request was running.
type crashRecord struct {
	crashes   int
	lastCrash time.Time
}

// Quarantine identifies poison requests: those that were running whenever a backend
// server crashed. A request is quarantined for a minute after its second crash
// without an answer in between. An answer clears its record, so requests that merely
// ran concurrently with a poison request are soon cleared. A Quarantine is safe for
// concurrent use. Use NewQuarantine to create one.
type Quarantine struct {
	records *table.Table[RequestKey, crashRecord]
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{records: table.New[RequestKey, crashRecord](lock.Quarantine)}
}

// RecordCrash records that a backend server, here or at another daemon, crashed
// while it was running a request. Two records of the same request within 200 ms are
// taken to be of the same crash.
func (q *Quarantine) RecordCrash(now time.Time, key RequestKey) {
	q.records.Update(key, func(v crashRecord, _ bool) (crashRecord, bool) {
		since := now.Sub(v.lastCrash)
		if since > crashRetention {
			v.crashes = 0
		}
		if since < duplicateReportInterval {
			return v, true
		}
		v.crashes++
		v.lastCrash = now
		return v, true
	})
}

// RecordAnswer records that a backend server ran a request without crashing.
func (q *Quarantine) RecordAnswer(key RequestKey) {
	if _, recorded := q.records.Get(key); recorded {
		q.records.Delete(key)
	}
}

// Quarantined reports whether a request is currently quarantined.
func (q *Quarantine) Quarantined(now time.Time, key RequestKey) bool {
	v, ok := q.records.Get(key)
	return ok && v.crashes >= crashThreshold && now.Sub(v.lastCrash) < quarantineDuration
}

// Sweep removes the records of requests whose last crash is older than ten minutes.
// Without regular calls, they accumulate.
func (q *Quarantine) Sweep(now time.Time) {
	q.records.Sweep(func(_ RequestKey, v crashRecord) bool { return now.Sub(v.lastCrash) <= crashRetention })
}
