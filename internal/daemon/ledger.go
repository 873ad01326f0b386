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
	// regionalBorrowTimeout and borrowFar bound one loan, within a region and beyond. A
	// holder that is silent for longer is passed over.
	regionalBorrowTimeout = 80 * time.Millisecond
	remoteBorrowTimeout   = 400 * time.Millisecond
	// failedBorrowRetryAfter is when to ask an allotment again whose holder did not answer.
	failedBorrowRetryAfter = time.Second
	// claimTimeout bounds one holder's vote.
	claimTimeout = 500 * time.Millisecond
	// settleAttempts and settlePause are for telling holders how an attempt ended.
	settleAttempts      = 3
	settleRetryInterval = 500 * time.Millisecond
)

// ledger borrows limit tokens and claims idempotency keys.
type ledger struct {
	*core
	splits        *customer.SplitCache
	lender        *customer.Lender
	borrower      *customer.Borrower
	static        *customer.StaticLimiter
	claims        *caller.ClaimStore
	holderHistory *caller.HolderHistory
}

func newLedger(c *core, now time.Time) *ledger {
	planner := customer.NewSplitCache()
	l := &ledger{
		core:          c,
		splits:        planner,
		lender:        customer.NewLender(c.self.Name(), planner),
		borrower:      customer.NewBorrower(c.self.Name(), c.self.Centre(), planner),
		claims:        caller.NewClaimStore(now),
		holderHistory: caller.NewHolderHistory(),
	}
	if c.settings.GetPolicies().GetLimits() == settings.LimitsStatic {
		l.static = customer.NewStaticLimiter()
	}
	return l
}

// apply takes over a version.
func (l *ledger) apply(now time.Time, cfg *platform.Config) {
	l.lender.Apply(now, cfg)
	l.borrower.Sweep(cfg)
	l.holderHistory.Adopt(now, cfg)
	l.splits.Sweep(cfg.Number())
}

// sweep forgets what has ended.
func (l *ledger) sweep(now time.Time) { l.claims.Sweep(now) }

// takeResult is the borrower's verdict on one request.
type takeResult struct {
	step customer.Decision
	loan customer.BorrowRequest
	wake <-chan struct{}
}

// takeToken takes a token of a customer, borrowing where needed. Where it returns
// false, again says when asking again may help.
func (l *ledger) takeToken(ctx context.Context, cfg *platform.Config, c platform.Customer) (ok bool, again time.Duration, err error) {
	if l.static != nil {
		return l.static.Allow(time.Now(), cfg, c), 0, nil
	}
	first := true
	for {
		now := time.Now()
		t, err := workers.Do(ctx, l.pool, func() takeResult {
			var t takeResult
			t.step, t.loan, t.wake = l.borrower.Take(now, cfg, c, first)
			return t
		})
		first = false
		if err != nil {
			return false, 0, err
		}
		switch t.step {
		case customer.Admit:
			return true, 0, nil
		case customer.Reject:
			return false, l.borrower.RetryAfter(now, c.Name()), nil
		case customer.Borrow:
			l.borrow(now, t.loan)
		case customer.Wait:
			select {
			case <-t.wake:
			case <-ctx.Done():
				return false, 0, context.Cause(ctx)
			}
		}
	}
}

// borrow carries a loan to its allotment and deposits what it gives. It does not
// end with the request that began it, since others wait for the deposit.
func (l *ledger) borrow(asked time.Time, loan customer.BorrowRequest) {
	grant, ok := l.requestGrant(loan)
	if !ok {
		grant = customer.NewGrant(0, 0, failedBorrowRetryAfter)
	}
	l.log.Trace("borrow", "customer", loan.Customer(), "holder", loan.Allotment().Holder(), "asked", loan.Count(), "got", grant.Count())
	l.borrower.Complete(asked, time.Now(), loan, grant)
}

func (l *ledger) requestGrant(loan customer.BorrowRequest) (customer.Grant, bool) {
	p := loan.Allotment()
	if p.Holder() == l.self.Name() {
		return l.lender.Lend(time.Now(), loan.Customer(), p.Index(), loan.Count()), true
	}
	if !l.members.Reachable(time.Now(), p.Holder()) {
		return customer.Grant{}, false
	}
	request := schema.Request_builder{Borrow: schema.Borrow_builder{
		Customer:  proto.String(loan.Customer()),
		Allotment: proto.Uint32(uint32(p.Index())),
		Count:     proto.Uint32(uint32(loan.Count())),
	}.Build()}.Build()
	a, err := l.callPeer(l.baseCtx, p.Holder(), l.borrowTimeout(p), request)
	if err != nil || !a.HasGrant() {
		return customer.Grant{}, false
	}
	g := a.GetGrant()
	return customer.NewGrant(int(g.GetCount()), g.GetValidity().AsDuration(), g.GetAgain().AsDuration()), true
}

// borrowTimeout returns how long to wait for an allotment's holder.
func (l *ledger) borrowTimeout(p customer.Allotment) time.Duration {
	cfg := l.config()
	own, _ := cfg.Centre(l.self.Centre())
	far, _ := cfg.Centre(p.Centre())
	if own.Region() == far.Region() {
		return regionalBorrowTimeout
	}
	return remoteBorrowTimeout
}

// claim is an attempt that has been put to its holders.
type claim struct {
	attempt caller.Attempt
	voters  []string
	// voted has, for each voter, a channel that is closed once its vote is in,
	// so that it is told of the end after it was told of the beginning.
	voted []chan struct{}
}

// holderVote is a holder's vote.
type holderVote struct {
	holder string
	vote   caller.Vote
	ok     bool
}

// claim puts an attempt to its holders and returns as soon as the votes come to
// a ruling; with a loss it says what is known of another attempt.
func (l *ledger) claim(ctx context.Context, cfg *platform.Config, a caller.Attempt) (*claim, caller.ClaimState, caller.Vote) {
	tally := caller.NewTally(l.holderHistory.Groups(time.Now(), a.Customer(), a.Key()))
	c := &claim{attempt: a, voters: tally.Holders()}
	cast := make(chan holderVote, len(c.voters))
	for _, holder := range c.voters {
		done := make(chan struct{})
		c.voted = append(c.voted, done)
		l.tasks.start(func() {
			defer close(done)
			vote, ok := l.requestVote(cfg, holder, a)
			cast <- holderVote{holder: holder, vote: vote, ok: ok}
		})
	}
	for range c.voters {
		select {
		case v := <-cast:
			if v.ok {
				tally.RecordVote(v.holder, v.vote)
			} else {
				tally.RecordFailure(v.holder)
			}
		case <-ctx.Done():
			return c, caller.ClaimLost, caller.VoteGranted
		}
		if r := tally.State(); r != caller.ClaimUndecided {
			return c, r, tally.Conflict()
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

// settleAll tells the holders how an attempt ended, without being waited for.
func (l *ledger) settleAll(cfg *platform.Config, c *claim, o caller.Outcome) {
	for i, holder := range c.voters {
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
	for range settleAttempts {
		if _, err := l.callPeer(l.baseCtx, holder, claimTimeout, request); err == nil {
			return
		}
		if !l.sleep(settleRetryInterval) {
			return
		}
	}
}
