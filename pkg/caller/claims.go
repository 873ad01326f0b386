package caller

import (
	"time"

	"github.com/google/uuid"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// maxClockSkew bounds the difference between the clocks of callers and daemons.
const maxClockSkew = 2 * time.Second

// Vote is a holder's response to a claim.
type Vote uint8

// The possible votes.
const (
	// VoteAbstain: the holder may have lost an earlier record of the key, so it
	// neither grants the claim nor reports another attempt.
	VoteAbstain Vote = iota
	// VoteGranted: the holder knows of no other attempt and has recorded this one.
	VoteGranted
	// VotePending: another attempt has claimed the key and has not been settled.
	VotePending
	// VoteRan: another attempt has run.
	VoteRan
	// VoteUnknown: it is not known whether another attempt ran.
	VoteUnknown
)

// Attempt identifies one attempt to run a request that must run at most once.
type Attempt struct {
	customer, key, id string
}

// NewAttempt returns the attempt with the given unique ID on a customer's
// idempotency key.
func NewAttempt(customer, key, id string) Attempt {
	return Attempt{customer: customer, key: key, id: id}
}

// Customer returns the customer's name.
func (a Attempt) Customer() string { return a.customer }

// Key returns the idempotency key.
func (a Attempt) Key() string { return a.key }

// ID returns the attempt's unique ID.
func (a Attempt) ID() string { return a.id }

// recordKey identifies a record. Idempotency keys are scoped to a customer.
type recordKey struct {
	customer, key string
}

// record is what a holder knows about a key: the attempt that claimed it and the
// vote that other attempts get.
type record struct {
	attemptID string
	vote      Vote
	expires   time.Time
}

// ClaimStore keeps, in memory, the idempotency records of which this daemon is a
// holder. It is safe for concurrent use. Create one with NewClaimStore.
type ClaimStore struct {
	start   time.Time
	records *table.Table[recordKey, record]
}

// NewClaimStore returns the empty store of a daemon that starts now. It abstains at
// first, since an earlier process may have lost records.
func NewClaimStore(now time.Time) *ClaimStore {
	return &ClaimStore{start: now, records: table.New[recordKey, record](lock.Claims)}
}

// Claim votes on an attempt, and records the attempt if the vote grants it. A
// repeated claim of a pending attempt is granted again.
func (c *ClaimStore) Claim(now time.Time, p platform.Policy, a Attempt) Vote {
	vote := VoteAbstain
	key := recordKey{customer: a.customer, key: a.key}
	c.records.Update(key, func(r record, ok bool) (record, bool) {
		if ok && now.Before(r.expires) {
			vote = r.voteFor(a.id)
			return r, true
		}
		if !c.historyComplete(now, p, a.key) {
			return record{}, false
		}
		vote = VoteGranted
		return record{attemptID: a.id, vote: VotePending, expires: now.Add(p.Retention())}, true
	})
	return vote
}

// voteFor returns the vote for an attempt on a key that has a record.
func (r record) voteFor(attemptID string) Vote {
	if r.attemptID == attemptID && r.vote == VotePending {
		return VoteGranted
	}
	return r.vote
}

// historyComplete reports whether this daemon would know of any earlier claim of
// key. For a key with a creation time, holders grant no claim before that time,
// up to clock skew, so a holder that was running then has seen every claim. A
// holder that started later is complete once it has run for the retention period,
// when any record that it may have lost has expired. For other keys, a holder is
// complete once it has run for the policy's distrust period.
func (c *ClaimStore) historyComplete(now time.Time, p platform.Policy, key string) bool {
	age := now.Sub(c.start)
	created, ok := keyCreatedAt(key)
	if !ok {
		return age >= p.Distrust()
	}
	if created.After(now.Add(maxClockSkew)) {
		return false
	}
	return created.After(c.start.Add(maxClockSkew)) || age >= p.Retention()
}

// keyCreatedAt returns the creation time in a key that is a UUIDv7.
func keyCreatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

// Settle records the outcome of an attempt, which also ends its pending claim. If the
// request did not run, its key may be claimed again. Settle has no effect if another
// attempt has claimed the key.
func (c *ClaimStore) Settle(now time.Time, p platform.Policy, a Attempt, o Outcome) {
	key := recordKey{customer: a.customer, key: a.key}
	c.records.Update(key, func(r record, ok bool) (record, bool) {
		if ok && r.attemptID != a.id {
			return r, true
		}
		switch o {
		case OutcomeNotRun:
			return record{}, false
		case OutcomeRan:
			return record{attemptID: a.id, vote: VoteRan, expires: now.Add(p.Retention())}, true
		}
		return record{attemptID: a.id, vote: VoteUnknown, expires: now.Add(p.Retention())}, true
	})
}

// Sweep deletes the expired records. Without regular calls, they accumulate.
func (c *ClaimStore) Sweep(now time.Time) {
	c.records.Sweep(func(_ recordKey, r record) bool { return now.Before(r.expires) })
}

// Len returns the number of records, including expired ones that have not been swept.
func (c *ClaimStore) Len() int { return c.records.Len() }
