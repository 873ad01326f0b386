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
	// counted holds the reports that were counted last.
	counted *table.Recent[reportID]
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		records: table.New[RequestKey, crashRecord](lock.Quarantine),
		counted: table.NewRecent[reportID](lock.Quarantine, maxCountedReports),
	}
}

// RecordCrash records that a backend server, here or at another daemon, crashed at a time
// while it was running a request. Two records of the same request whose times differ by less
// than 200 ms are taken to be of the same crash.
func (q *Quarantine) RecordCrash(at time.Time, key RequestKey) {
	q.records.Update(key, func(v crashRecord, _ bool) (crashRecord, bool) {
		// Negative if the report of an earlier crash arrives after that of a later one.
		since := at.Sub(v.lastCrash)
		if since > crashRetention {
			v.crashes = 0
		}
		if since.Abs() < duplicateReportInterval {
			return v, true
		}
		v.crashes++
		if since > 0 {
			v.lastCrash = at
		}
		return v, true
	})
}

// RecordReport records the report of a crash that another daemon has sent, age after the crash,
// and reports whether it is counted. A report with the id of an earlier one from that daemon is
// not, among the last 4096 of all daemons. The id is 0 for daemons of earlier versions, which do
// not repeat reports. A report that arrives after an answer to the same request counts, though
// its crash may have been before: answers are not remembered.
func (q *Quarantine) RecordReport(now time.Time, from string, id uint64, key RequestKey, age time.Duration) bool {
	if id != 0 && !q.counted.Add(reportID{from: from, id: id}) {
		return false
	}
	q.RecordCrash(now.Add(-min(max(age, 0), reportLifetime)), key)
	return true
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
