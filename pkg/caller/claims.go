package caller

import (
	"time"

	"github.com/google/uuid"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// skew is how far clocks of callers and daemons may differ.
const skew = 2 * time.Second

// Vote is a holder's answer to a claim.
type Vote uint8

// The votes.
const (
	// VoteAbstain: the holder may have forgotten the key.
	VoteAbstain Vote = iota
	// VoteGranted: the attempt may run as far as this holder knows.
	VoteGranted
	// VotePending: another attempt has claimed the key.
	VotePending
	// VoteRan: another attempt ran.
	VoteRan
	// VoteUnknown: it is not known whether another attempt ran.
	VoteUnknown
)

// Attempt names one try of a request that must run once.
type Attempt struct {
	customer, key, id string
}

// NewAttempt returns the attempt with an identity of its own.
func NewAttempt(customer, key, id string) Attempt {
	return Attempt{customer: customer, key: key, id: id}
}

// Customer returns the customer's name.
func (a Attempt) Customer() string { return a.customer }

// Key returns the idempotency key.
func (a Attempt) Key() string { return a.key }

// ID returns the attempt's own identity.
func (a Attempt) ID() string { return a.id }

// recordKey names a record: keys of different customers never meet.
type recordKey struct {
	customer, key string
}

type record struct {
	attempt string
	vote    Vote
	end     time.Time
}

// ClaimStore holds the records that this daemon is a holder of. Make one with
// NewClaims.
type ClaimStore struct {
	start   time.Time
	records *table.Table[recordKey, record]
}

// NewClaimStore returns the empty records of a daemon that starts now.
func NewClaimStore(now time.Time) *ClaimStore {
	return &ClaimStore{start: now, records: table.New[recordKey, record](lock.Claims)}
}

// Claim asks to run an attempt.
func (c *ClaimStore) Claim(now time.Time, p platform.Policy, a Attempt) Vote {
	vote := VoteAbstain
	key := recordKey{customer: a.customer, key: a.key}
	c.records.Update(key, func(r record, ok bool) (record, bool) {
		if ok && now.Before(r.end) {
			vote = r.answer(a.id)
			return r, true
		}
		if !c.remembers(now, p, a.key) {
			return record{}, false
		}
		vote = VoteGranted
		return record{attempt: a.id, vote: VotePending, end: now.Add(p.Retention())}, true
	})
	return vote
}

func (r record) answer(attempt string) Vote {
	if r.attempt == attempt && r.vote == VotePending {
		return VoteGranted
	}
	return r.vote
}

// remembers says whether this daemon would know of an earlier claim of key. A
// key that tells when it was made is judged by that, for as long as records are
// kept: no holder vouches for it before that instant, so a holder that was there
// at that instant has seen every claim. Another key is judged by the time of
// distrust alone.
func (c *ClaimStore) remembers(now time.Time, p platform.Policy, key string) bool {
	age := now.Sub(c.start)
	made, ok := madeAt(key)
	if !ok {
		return age >= p.Distrust()
	}
	if made.After(now.Add(skew)) {
		return false
	}
	return made.After(c.start.Add(skew)) || age >= p.Retention()
}

// madeAt returns the instant in a key that is a UUIDv7.
func madeAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

// Settle notes how an attempt ended. A request that did not run frees its key.
func (c *ClaimStore) Settle(now time.Time, p platform.Policy, a Attempt, o Outcome) {
	key := recordKey{customer: a.customer, key: a.key}
	c.records.Update(key, func(r record, ok bool) (record, bool) {
		if ok && r.attempt != a.id {
			return r, true
		}
		switch o {
		case OutcomeNotRun:
			return record{}, false
		case OutcomeRan:
			return record{attempt: a.id, vote: VoteRan, end: now.Add(p.Retention())}, true
		}
		return record{attempt: a.id, vote: VoteUnknown, end: now.Add(p.Retention())}, true
	})
}

// Sweep forgets the records that have ended.
func (c *ClaimStore) Sweep(now time.Time) {
	c.records.Sweep(func(_ recordKey, r record) bool { return now.Before(r.end) })
}

// Len returns the number of records.
func (c *ClaimStore) Len() int { return c.records.Len() }
