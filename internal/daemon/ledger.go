package daemon

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/settings"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// regionalBorrowTimeout and remoteBorrowTimeout bound a borrow request to a holder
	// in the same region and in another one. A holder that exceeds its bound is skipped.
	regionalBorrowTimeout = 80 * time.Millisecond
	remoteBorrowTimeout   = 400 * time.Millisecond
	// failedBorrowRetryAfter is how long to skip an allotment whose holder did not
	// answer.
	failedBorrowRetryAfter = time.Second
	// claimTimeout bounds a request to a holder for its vote or with the outcome.
	claimTimeout = 500 * time.Millisecond
	// maxSettleTries is how often the outcome of an attempt is sent to a holder that does
	// not answer, and settleRetryInterval is the wait between two tries.
	maxSettleTries      = 3
	settleRetryInterval = 500 * time.Millisecond
)

// ledger borrows limit tokens and claims idempotency keys, from the daemons that hold the
// allotments and the records of the keys. This daemon may be a holder itself.
type ledger struct {
	*core
	splits *customer.SplitCache
	// lender holds the allotments of this daemon, and borrower the tokens that it has
	// borrowed from others and from itself.
	lender   *customer.Lender
	borrower *customer.Borrower
	// staticLimiter, if not nil, is used instead of borrowing tokens.
	staticLimiter *customer.StaticLimiter
	// claims holds the records of the idempotency keys of which this daemon is a holder.
	claims *caller.ClaimStore
	// holderHistory determines the holders of a key.
	holderHistory *caller.HolderHistory
}

func newLedger(c *core, now time.Time) *ledger {
	splits := customer.NewSplitCache()
	l := &ledger{
		core:          c,
		splits:        splits,
		lender:        customer.NewLender(c.self.Name(), splits),
		borrower:      customer.NewBorrower(c.self.Name(), c.self.Centre(), splits),
		claims:        caller.NewClaimStore(now),
		holderHistory: caller.NewHolderHistory(),
	}
	if c.settings.GetPolicies().GetLimits() == settings.LimitsStatic {
		l.staticLimiter = customer.NewStaticLimiter()
	}
	return l
}

// apply updates the limits and the holders of idempotency keys to cfg.
func (l *ledger) apply(now time.Time, cfg *platform.Config) {
	l.lender.Apply(now, cfg)
	l.borrower.Sweep(cfg)
	l.holderHistory.Adopt(now, cfg)
	l.splits.Sweep(cfg.Number())
}

// sweep removes expired claims.
func (l *ledger) sweep(now time.Time) { l.claims.Sweep(now) }

// takeResult is what Borrower.Take returns.
type takeResult struct {
	decision  customer.Decision
	request   customer.BorrowRequest
	completed <-chan struct{}
}

// takeToken takes a limit token of a customer and borrows tokens if necessary. If it
// returns false, retryAfter is how long to wait before retrying.
func (l *ledger) takeToken(ctx context.Context, cfg *platform.Config, c platform.Customer) (ok bool, retryAfter time.Duration, err error) {
	if l.staticLimiter != nil {
		return l.staticLimiter.Allow(time.Now(), cfg, c), 0, nil
	}
	first := true
	for {
		now := time.Now()
		t, err := workers.Do(ctx, l.pool, func() takeResult {
			var t takeResult
			t.decision, t.request, t.completed = l.borrower.Take(now, cfg, c, first)
			return t
		})
		first = false
		if err != nil {
			return false, 0, err
		}
		switch t.decision {
		case customer.Admit:
			return true, 0, nil
		case customer.Reject:
			return false, l.borrower.RetryAfter(now, c.Name()), nil
		case customer.Borrow:
			l.borrow(now, t.request)
		case customer.Wait:
			select {
			case <-t.completed:
			case <-ctx.Done():
				return false, 0, context.Cause(ctx)
			}
		}
	}
}

// borrow sends a borrow request to the holder of its allotment and passes the granted
// tokens to the borrower. It does not end with the context of the request that started
// it, because other requests wait for it to complete.
func (l *ledger) borrow(start time.Time, r customer.BorrowRequest) {
	grant, ok := l.requestGrant(r)
	if !ok {
		grant = customer.NewGrant(0, 0, failedBorrowRetryAfter)
	}
	l.log.Trace("borrow", "customer", r.Customer(), "holder", r.Allotment().Holder(), "asked", r.Count(), "got", grant.Count())
	l.borrower.Complete(start, time.Now(), r, grant)
}

func (l *ledger) requestGrant(r customer.BorrowRequest) (customer.Grant, bool) {
	allotment := r.Allotment()
	if allotment.Holder() == l.self.Name() {
		return l.lender.Lend(time.Now(), r.Customer(), allotment.Index(), r.Count()), true
	}
	if !l.members.Reachable(time.Now(), allotment.Holder()) {
		return customer.Grant{}, false
	}
	request := schema.Request_builder{Borrow: schema.Borrow_builder{
		Customer:  proto.String(r.Customer()),
		Allotment: proto.Uint32(uint32(allotment.Index())),
		Count:     proto.Uint32(uint32(r.Count())),
	}.Build()}.Build()
	a, err := l.callPeer(l.baseCtx, allotment.Holder(), l.borrowTimeout(allotment), request)
	if err != nil || !a.HasGrant() {
		return customer.Grant{}, false
	}
	g := a.GetGrant()
	return customer.NewGrant(int(g.GetCount()), g.GetValidity().AsDuration(), g.GetAgain().AsDuration()), true
}

// borrowTimeout returns the timeout of a request to the holder of an allotment.
func (l *ledger) borrowTimeout(allotment customer.Allotment) time.Duration {
	cfg := l.config()
	local, _ := cfg.Centre(l.self.Centre())
	remote, _ := cfg.Centre(allotment.Centre())
	if local.Region() == remote.Region() {
		return regionalBorrowTimeout
	}
	return remoteBorrowTimeout
}

// claim is an attempt that was sent to the holders of its idempotency key.
type claim struct {
	attempt caller.Attempt
	holders []string
	// voted has one channel per holder, closed after the holder's vote has arrived or
	// failed, so that the settlement is sent after the claim.
	voted []chan struct{}
}

// holderVote is the vote of one holder, with ok false if it did not answer.
type holderVote struct {
	holder string
	vote   caller.Vote
	ok     bool
}

// claim sends an attempt to its holders and returns as soon as their votes decide it.
// The returned vote is what the holders reported about another attempt with the same key,
// as returned by Tally.Conflict.
func (l *ledger) claim(ctx context.Context, cfg *platform.Config, a caller.Attempt) (*claim, caller.ClaimState, caller.Vote) {
	tally := caller.NewTally(l.holderHistory.Groups(time.Now(), a.Customer(), a.Key()))
	c := &claim{attempt: a, holders: tally.Holders()}
	results := make(chan holderVote, len(c.holders))
	for _, holder := range c.holders {
		done := make(chan struct{})
		c.voted = append(c.voted, done)
		l.tasks.start(func() {
			defer close(done)
			vote, ok := l.requestVote(cfg, holder, a)
			results <- holderVote{holder: holder, vote: vote, ok: ok}
		})
	}
	for range c.holders {
		select {
		case v := <-results:
			if v.ok {
				tally.RecordVote(v.holder, v.vote)
			} else {
				tally.RecordFailure(v.holder)
			}
		case <-ctx.Done():
			return c, caller.ClaimLost, caller.VoteGranted
		}
		if state := tally.State(); state != caller.ClaimUndecided {
			return c, state, tally.Conflict()
		}
	}
	return c, caller.ClaimLost, tally.Conflict()
}

func (l *ledger) requestVote(cfg *platform.Config, holder string, a caller.Attempt) (caller.Vote, bool) {
	if holder == l.self.Name() {
		return l.claims.Claim(time.Now(), cfg.Policy(), a), true
	}
	request := schema.Request_builder{Claim: schema.Claim_builder{
		Customer: proto.String(a.Customer()),
		Key:      proto.String(a.Key()),
		Attempt:  proto.String(a.ID()),
	}.Build()}.Build()
	answer, err := l.callPeer(l.baseCtx, holder, claimTimeout, request)
	if err != nil || !answer.HasVote() {
		return caller.VoteAbstain, false
	}
	return votes.backward[answer.GetVote().GetState()], true
}

// settleAll reports the outcome of an attempt to its holders in the background.
func (l *ledger) settleAll(cfg *platform.Config, c *claim, o caller.Outcome) {
	for i, holder := range c.holders {
		l.tasks.start(func() {
			<-c.voted[i]
			l.settle(cfg, holder, c.attempt, o)
		})
	}
}

func (l *ledger) settle(cfg *platform.Config, holder string, a caller.Attempt, o caller.Outcome) {
	if holder == l.self.Name() {
		l.claims.Settle(time.Now(), cfg.Policy(), a, o)
		return
	}
	request := schema.Request_builder{Settle: schema.Settle_builder{
		Customer: proto.String(a.Customer()),
		Key:      proto.String(a.Key()),
		Attempt:  proto.String(a.ID()),
		Outcome:  outcomes.forward[o].Enum(),
	}.Build()}.Build()
	for range maxSettleTries {
		if _, err := l.callPeer(l.baseCtx, holder, claimTimeout, request); err == nil {
			return
		}
		if !l.sleep(settleRetryInterval) {
			return
		}
	}
}
