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
	// borrowNear and borrowFar bound one loan, within a region and beyond. A
	// holder that is silent for longer is passed over.
	borrowNear = 80 * time.Millisecond
	borrowFar  = 400 * time.Millisecond
	// failedAgain is when to ask an allotment again whose holder did not answer.
	failedAgain = time.Second
	// claimTimeout bounds one holder's vote.
	claimTimeout = 500 * time.Millisecond
	// settleTries and settlePause are for telling holders how an attempt ended.
	settleTries = 3
	settlePause = 500 * time.Millisecond
)

// ledger borrows limit tokens and claims idempotency keys.
type ledger struct {
	*core
	planner     *customer.SplitCache
	lender      *customer.Lender
	borrower    *customer.Borrower
	static      *customer.StaticLimiter
	claims      *caller.ClaimStore
	electorates *caller.HolderHistory
}

func newLedger(c *core, now time.Time) *ledger {
	planner := customer.NewSplitCache()
	l := &ledger{
		core:        c,
		planner:     planner,
		lender:      customer.NewLender(c.self.Name(), planner),
		borrower:    customer.NewBorrower(c.self.Name(), c.self.Centre(), planner),
		claims:      caller.NewClaimStore(now),
		electorates: caller.NewHolderHistory(),
	}
	if c.settings.GetPolicies().GetLimits() == settings.LimitsStatic {
		l.static = customer.NewStaticLimiter()
	}
	return l
}

// adopt takes over a version.
func (l *ledger) adopt(now time.Time, cfg *platform.Config) {
	l.lender.Apply(now, cfg)
	l.borrower.Sweep(cfg)
	l.electorates.Adopt(now, cfg)
	l.planner.Sweep(cfg.Number())
}

// sweep forgets what has ended.
func (l *ledger) sweep(now time.Time) { l.claims.Sweep(now) }

// taken is the borrower's verdict on one request.
type taken struct {
	step customer.Decision
	loan customer.BorrowRequest
	wake <-chan struct{}
}

// spend takes a token of a customer, borrowing where needed. Where it returns
// false, again says when asking again may help.
func (l *ledger) spend(ctx context.Context, cfg *platform.Config, c platform.Customer) (ok bool, again time.Duration, err error) {
	if l.static != nil {
		return l.static.Allow(time.Now(), cfg, c), 0, nil
	}
	first := true
	for {
		now := time.Now()
		t, err := workers.Do(ctx, l.pool, func() taken {
			var t taken
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
	grant, ok := l.lendOrAsk(loan)
	if !ok {
		grant = customer.NewGrant(0, 0, failedAgain)
	}
	l.log.Trace("borrow", "customer", loan.Customer(), "holder", loan.Allotment().Holder(), "asked", loan.Count(), "got", grant.Count())
	l.borrower.Complete(asked, time.Now(), loan, grant)
}

func (l *ledger) lendOrAsk(loan customer.BorrowRequest) (customer.Grant, bool) {
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
	a, err := l.ask(l.quit, p.Holder(), l.patience(p), request)
	if err != nil || !a.HasGrant() {
		return customer.Grant{}, false
	}
	g := a.GetGrant()
	return customer.NewGrant(int(g.GetCount()), g.GetValidity().AsDuration(), g.GetAgain().AsDuration()), true
}

// patience returns how long to wait for an allotment's holder.
func (l *ledger) patience(p customer.Allotment) time.Duration {
	cfg := l.config()
	own, _ := cfg.Centre(l.self.Centre())
	far, _ := cfg.Centre(p.Centre())
	if own.Region() == far.Region() {
		return borrowNear
	}
	return borrowFar
}

// claim is an attempt that has been put to its holders.
type claim struct {
	attempt caller.Attempt
	voters  []string
	// asked has, for each voter, a channel that is closed once its vote is in,
	// so that it is told of the end after it was told of the beginning.
	asked []chan struct{}
}

// claimed is a holder's vote.
type claimed struct {
	holder string
	vote   caller.Vote
	ok     bool
}

// claim puts an attempt to its holders and returns as soon as the votes come to
// a ruling; with a loss it says what is known of another attempt.
func (l *ledger) claim(ctx context.Context, cfg *platform.Config, a caller.Attempt) (*claim, caller.ClaimState, caller.Vote) {
	tally := caller.NewTally(l.electorates.Groups(time.Now(), a.Customer(), a.Key()))
	c := &claim{attempt: a, voters: tally.Holders()}
	cast := make(chan claimed, len(c.voters))
	for _, holder := range c.voters {
		done := make(chan struct{})
		c.asked = append(c.asked, done)
		l.tasks.start(func() {
			defer close(done)
			vote, ok := l.vote(cfg, holder, a)
			cast <- claimed{holder: holder, vote: vote, ok: ok}
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

func (l *ledger) vote(cfg *platform.Config, holder string, a caller.Attempt) (caller.Vote, bool) {
	if holder == l.self.Name() {
		return l.claims.Claim(time.Now(), cfg.Policy(), a), true
	}
	request := schema.Request_builder{Claim: schema.Claim_builder{
		Customer: proto.String(a.Customer()),
		Key:      proto.String(a.Key()),
		Attempt:  proto.String(a.ID()),
	}.Build()}.Build()
	answer, err := l.ask(l.quit, holder, claimTimeout, request)
	if err != nil || !answer.HasVote() {
		return caller.VoteAbstain, false
	}
	return votes.back[answer.GetVote().GetState()], true
}

// end tells the holders how an attempt ended, without being waited for.
func (l *ledger) end(cfg *platform.Config, c *claim, o caller.Outcome) {
	for i, holder := range c.voters {
		l.tasks.start(func() {
			<-c.asked[i]
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
		Outcome:  outcomes.forth[o].Enum(),
	}.Build()}.Build()
	for range settleTries {
		if _, err := l.ask(l.quit, holder, claimTimeout, request); err == nil {
			return
		}
		if !l.pause(settlePause) {
			return
		}
	}
}
