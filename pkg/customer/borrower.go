package customer

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// prefetchFraction is the fraction of the token validity period for which
// expected demand is borrowed in advance.
const prefetchFraction = 0.5

// demandWindow is the averaging period for demand.
const demandWindow = time.Second

// BorrowRequest asks the holder of an allotment for tokens. The caller sends it.
type BorrowRequest struct {
	customer  string
	allotment Allotment
	count     int
}

// Customer returns the customer's name.
func (r BorrowRequest) Customer() string { return r.customer }

// Allotment returns the allotment to borrow from. Its Holder states where to send the
// request.
func (r BorrowRequest) Allotment() Allotment { return r.allotment }

// Count returns the number of tokens to borrow.
func (r BorrowRequest) Count() int { return r.count }

// Decision is what to do with a request that needs a token.
type Decision uint8

const (
	// Admit means that a token was taken and the request may proceed.
	Admit Decision = iota
	// Borrow means that the caller must send the borrow request to the allotment's
	// holder, pass the result to Complete, even after a failure, and call Take again.
	Borrow
	// Wait means that a borrow request is in flight for the customer; the caller
	// calls Take again after it completes.
	Wait
	// Reject means that no allotment has a token at present.
	Reject
)

// borrowerState is the state of one customer at a Borrower.
type borrowerState struct {
	split Split
	// order lists the split's allotments by index, nearest first.
	order   []int
	version uint64
	tokens  tokenBatches
	// retryAt maps the index of an exhausted or unreachable allotment to the time
	// from which it is asked again.
	retryAt map[int]time.Time
	// borrowing reports whether a borrow request is in flight.
	borrowing bool
	waiters   int
	wake      chan struct{}
	// demand is a decaying count of requests up to lastRequest.
	demand      float64
	lastRequest time.Time
}

// Borrower holds the tokens that this daemon has borrowed. It is safe for concurrent
// use. Use NewBorrower to create one.
type Borrower struct {
	self      string
	centre    string
	splits    *SplitCache
	customers *table.Table[string, *borrowerState]
}

// NewBorrower returns a Borrower without tokens for the daemon beside the backend
// server named self, in the data centre named centre.
func NewBorrower(self, centre string, splits *SplitCache) *Borrower {
	return &Borrower{
		splits:    splits,
		self:      self,
		centre:    centre,
		customers: table.New[string, *borrowerState](lock.Borrowers),
	}
}

// Take spends a token of a customer or returns how to obtain one. firstAttempt is
// set on the first call for a request, so that the request adds to the demand only
// once. The borrow request is valid only with Borrow. The channel is non-nil only
// with Wait and is closed when the borrow request in flight completes.
func (b *Borrower) Take(now time.Time, cfg *platform.Config, c platform.Customer, firstAttempt bool) (Decision, BorrowRequest, <-chan struct{}) {
	var (
		decision Decision
		request  BorrowRequest
		wake     <-chan struct{}
	)
	b.customers.Update(c.Name(), func(s *borrowerState, ok bool) (*borrowerState, bool) {
		if !ok {
			s = &borrowerState{wake: make(chan struct{})}
		}
		b.apply(s, cfg, c)
		if firstAttempt {
			s.recordRequest(now)
		}
		decision, request, wake = b.decide(s, now, c.Name())
		return s, true
	})
	return decision, request, wake
}

// apply switches to the split of a new version. Borrowed tokens are kept: they
// were issued under a share that was in force at their holder.
func (b *Borrower) apply(s *borrowerState, cfg *platform.Config, c platform.Customer) {
	if s.version == cfg.Number() {
		return
	}
	s.version = cfg.Number()
	s.split = b.splits.Split(cfg, c)
	s.order = b.order(cfg, s.split)
	s.retryAt = make(map[int]time.Time)
}

// order sorts a split's allotments by distance: the daemon's own, those in its
// data centre, those in its region, all others.
func (b *Borrower) order(cfg *platform.Config, s Split) []int {
	own, _ := cfg.Centre(b.centre)
	distance := func(index int) int {
		a := s.allotments[index]
		remote, _ := cfg.Centre(a.centre)
		switch {
		case a.holder == b.self:
			return 0
		case a.centre == b.centre:
			return 1
		case remote.Region() == own.Region():
			return 2
		}
		return 3
	}
	order := make([]int, len(s.allotments))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return distance(i) - distance(j) })
	return order
}

func (b *Borrower) decide(s *borrowerState, now time.Time, customer string) (Decision, BorrowRequest, <-chan struct{}) {
	if s.tokens.spend(now) {
		return Admit, BorrowRequest{}, nil
	}
	if s.borrowing {
		s.waiters++
		return Wait, BorrowRequest{}, s.wake
	}
	for _, i := range s.order {
		if now.Before(s.retryAt[i]) {
			continue
		}
		s.borrowing = true
		request := BorrowRequest{customer: customer, allotment: s.split.allotments[i], count: 1 + s.takePrefetchCount()}
		return Borrow, request, nil
	}
	return Reject, BorrowRequest{}, nil
}

// recordRequest counts a request towards the customer's demand at this daemon.
func (s *borrowerState) recordRequest(now time.Time) {
	if d := now.Sub(s.lastRequest); d > 0 && !s.lastRequest.IsZero() {
		remaining := max(0, 1-d.Seconds()/demandWindow.Seconds())
		s.demand *= remaining
	}
	s.lastRequest = now
	s.demand++
}

// takePrefetchCount returns the number of additional tokens to borrow, for the
// waiting requests and for prefetchFraction of those expected during the validity
// period. It resets the number of waiting requests.
func (s *borrowerState) takePrefetchCount() int {
	expected := s.demand * s.split.validity.Seconds() * prefetchFraction
	n := s.waiters + int(expected)
	s.waiters = 0
	return n
}

// Complete adds the tokens granted for a borrow request and wakes the waiting
// requests. requestedAt is the time that was passed to Take for it. A borrow request
// that failed is completed with an empty grant, whose RetryAfter states when the
// allotment may be asked again.
func (b *Borrower) Complete(requestedAt, now time.Time, request BorrowRequest, g Grant) {
	b.customers.Update(request.customer, func(s *borrowerState, ok bool) (*borrowerState, bool) {
		if !ok {
			return s, false
		}
		s.borrowing = false
		switch {
		case g.count > 0:
			s.tokens = append(s.tokens, tokenBatch{count: g.count, expires: requestedAt.Add(g.validity)})
		case request.allotment.index < len(s.split.allotments):
			s.retryAt[request.allotment.index] = now.Add(g.retryAfter)
		}
		close(s.wake)
		s.wake = make(chan struct{})
		return s, true
	})
}

// RetryAfter returns the time until the first of the customer's exhausted
// allotments may have a token, or zero if none is known to be exhausted.
func (b *Borrower) RetryAfter(now time.Time, customer string) time.Duration {
	retryAfter := time.Duration(0)
	b.customers.Update(customer, func(s *borrowerState, ok bool) (*borrowerState, bool) {
		if !ok {
			return s, false
		}
		for _, at := range s.retryAt {
			if d := at.Sub(now); d > 0 && (retryAfter == 0 || d < retryAfter) {
				retryAfter = d
			}
		}
		return s, true
	})
	return retryAfter
}

// Sweep removes the state of customers that are not in cfg, except where a borrow
// request is in flight.
func (b *Borrower) Sweep(cfg *platform.Config) {
	b.customers.Sweep(func(name string, s *borrowerState) bool {
		_, ok := cfg.Customer(name)
		return ok || s.borrowing
	})
}
