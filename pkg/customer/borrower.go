package customer

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// aheadShare is the part of a token's validity whose expected requests are
// borrowed for in advance.
const aheadShare = 0.5

// demandWindow is the time over which demand is averaged.
const demandWindow = time.Second

// BorrowRequest is a request to borrow, for the edge to carry to an allotment's holder.
type BorrowRequest struct {
	customer  string
	allotment Allotment
	count     int
}

// Customer returns the customer's name.
func (l BorrowRequest) Customer() string { return l.customer }

// Allotment returns the allotment to borrow from.
func (l BorrowRequest) Allotment() Allotment { return l.allotment }

// Count returns how many tokens to ask for.
func (l BorrowRequest) Count() int { return l.count }

// Decision says what a request that needs a token is to do next.
type Decision uint8

// The steps.
const (
	// Admit: a token has been taken, the request may go on.
	Admit Decision = iota
	// Borrow: carry the loan to its allotment and hand the grant to Deposit.
	Borrow
	// Wait: another request is borrowing; ask again after its deposit.
	Wait
	// Reject: no allotment has a token now.
	Reject
)

// account is what a daemon knows of one customer.
type account struct {
	split  Split
	order  []int
	number uint64
	stock  stock
	// dry maps an allotment's index to when asking it again may help.
	dry      map[int]time.Time
	borrower bool
	waiters  int
	wake     chan struct{}
	demand   float64
	seen     time.Time
}

// Borrower holds the tokens that this daemon has borrowed. Make one with
// NewBorrower.
type Borrower struct {
	self     string
	centre   string
	planner  *SplitCache
	accounts *table.Table[string, *account]
}

// NewBorrower returns the empty borrower of the slot named self in a data centre.
func NewBorrower(self, centre string, p *SplitCache) *Borrower {
	return &Borrower{
		planner:  p,
		self:     self,
		centre:   centre,
		accounts: table.New[string, *account](lock.Borrowers),
	}
}

// Take spends a token of a customer or says how to get one. The channel is
// closed at the next deposit; it is set with Wait alone.
func (w *Borrower) Take(now time.Time, cfg *platform.Config, c platform.Customer, first bool) (Decision, BorrowRequest, <-chan struct{}) {
	var (
		step Decision
		loan BorrowRequest
		wake <-chan struct{}
	)
	w.accounts.Update(c.Name(), func(a *account, ok bool) (*account, bool) {
		if !ok {
			a = &account{wake: make(chan struct{})}
		}
		w.adopt(a, cfg, c)
		if first {
			a.note(now)
		}
		step, loan, wake = w.step(a, now, c.Name())
		return a, true
	})
	return step, loan, wake
}

// adopt takes over a version's split. Tokens in stock stay: they were issued
// under a share that was in force at their holder.
func (w *Borrower) adopt(a *account, cfg *platform.Config, c platform.Customer) {
	if a.number == cfg.Number() {
		return
	}
	a.number = cfg.Number()
	a.split = w.planner.Split(cfg, c)
	a.order = w.order(cfg, a.split)
	a.dry = make(map[int]time.Time)
}

// order ranks a split's allotments from near to far: the daemon's own, those of
// its data centre, those of its region, the others.
func (w *Borrower) order(cfg *platform.Config, s Split) []int {
	own, _ := cfg.Centre(w.centre)
	distance := func(index int) int {
		p := s.allotments[index]
		far, _ := cfg.Centre(p.centre)
		switch {
		case p.holder == w.self:
			return 0
		case p.centre == w.centre:
			return 1
		case far.Region() == own.Region():
			return 2
		}
		return 3
	}
	order := make([]int, len(s.allotments))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return distance(a) - distance(b) })
	return order
}

func (w *Borrower) step(a *account, now time.Time, customer string) (Decision, BorrowRequest, <-chan struct{}) {
	if a.stock.spend(now) {
		return Admit, BorrowRequest{}, nil
	}
	if a.borrower {
		a.waiters++
		return Wait, BorrowRequest{}, a.wake
	}
	for _, i := range a.order {
		if now.Before(a.dry[i]) {
			continue
		}
		a.borrower = true
		loan := BorrowRequest{customer: customer, allotment: a.split.allotments[i], count: 1 + a.ahead()}
		return Borrow, loan, nil
	}
	return Reject, BorrowRequest{}, nil
}

// note counts a request towards the customer's demand at this daemon.
func (a *account) note(now time.Time) {
	if d := now.Sub(a.seen); d > 0 && !a.seen.IsZero() {
		keep := max(0, 1-d.Seconds()/demandWindow.Seconds())
		a.demand *= keep
	}
	a.seen = now
	a.demand++
}

// ahead returns how many tokens more to borrow: those of the requests that wait
// and of a part of those expected while the tokens are valid.
func (a *account) ahead() int {
	expected := a.demand * a.split.validity.Seconds() * aheadShare
	n := a.waiters + int(expected)
	a.waiters = 0
	return n
}

// Complete ends a loan that was asked for at the instant asked, and wakes those
// who wait. A loan that failed is deposited as an empty grant.
func (w *Borrower) Complete(asked, now time.Time, loan BorrowRequest, g Grant) {
	w.accounts.Update(loan.customer, func(a *account, ok bool) (*account, bool) {
		if !ok {
			return a, false
		}
		a.borrower = false
		switch {
		case g.count > 0:
			a.stock = append(a.stock, tokens{count: g.count, end: asked.Add(g.validity)})
		case loan.allotment.index < len(a.split.allotments):
			a.dry[loan.allotment.index] = now.Add(g.again)
		}
		close(a.wake)
		a.wake = make(chan struct{})
		return a, true
	})
}

// RetryAfter returns when an allotment of the customer may have a token again.
func (w *Borrower) RetryAfter(now time.Time, customer string) time.Duration {
	again := time.Duration(0)
	w.accounts.Update(customer, func(a *account, ok bool) (*account, bool) {
		if !ok {
			return a, false
		}
		for _, until := range a.dry {
			if d := until.Sub(now); d > 0 && (again == 0 || d < again) {
				again = d
			}
		}
		return a, true
	})
	return again
}

// Sweep forgets customers that the version no longer has.
func (w *Borrower) Sweep(cfg *platform.Config) {
	w.accounts.Sweep(func(name string, a *account) bool {
		_, ok := cfg.Customer(name)
		return ok || a.borrower
	})
}
