package backend

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// deathsMost is how many deaths a request may be seen at before it is held.
	deathsMost = 2
	// holdFor is how long a request is held.
	holdFor = time.Minute
	// sameDeath is how close two reports of one death may be.
	sameDeath = 200 * time.Millisecond
	// rememberFor is how long a death counts.
	rememberFor = 10 * time.Minute
)

// RequestKey names equal requests of one customer. The customer is part of the
// name, so no customer's deaths hold back another's requests.
type RequestKey struct {
	customer    string
	fingerprint uint64
}

// NewRequestKey returns the name of a customer's requests with a fingerprint.
func NewRequestKey(customer string, fingerprint uint64) RequestKey {
	return RequestKey{customer: customer, fingerprint: fingerprint}
}

// Customer returns the customer's name.
func (s RequestKey) Customer() string { return s.customer }

// Fingerprint returns the hash that equal requests share.
func (s RequestKey) Fingerprint() uint64 { return s.fingerprint }

type suspicion struct {
	deaths int
	last   time.Time
}

// Quarantine holds back requests that ran each time a backend server died. A
// request that was answered is no longer suspected, so what merely ran beside
// a poison request is soon cleared. Make one with NewQuarantine.
type Quarantine struct {
	suspects *table.Table[RequestKey, suspicion]
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: table.New[RequestKey, suspicion](lock.Quarantine)}
}

// RecordCrash notes that a backend server died while it ran a request.
func (q *Quarantine) RecordCrash(now time.Time, s RequestKey) {
	q.suspects.Update(s, func(v suspicion, _ bool) (suspicion, bool) {
		since := now.Sub(v.last)
		if since > rememberFor {
			v.deaths = 0
		}
		if since < sameDeath {
			return v, true
		}
		v.deaths++
		v.last = now
		return v, true
	})
}

// RecordAnswer notes that a backend server ran a request and lived.
func (q *Quarantine) RecordAnswer(s RequestKey) {
	if _, suspected := q.suspects.Get(s); suspected {
		q.suspects.Delete(s)
	}
}

// Quarantined says whether a request is held back now.
func (q *Quarantine) Quarantined(now time.Time, s RequestKey) bool {
	v, ok := q.suspects.Get(s)
	return ok && v.deaths >= deathsMost && now.Sub(v.last) < holdFor
}

// Sweep forgets old deaths.
func (q *Quarantine) Sweep(now time.Time) {
	q.suspects.Sweep(func(_ RequestKey, v suspicion) bool { return now.Sub(v.last) <= rememberFor })
}
