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

// Loan is a request to borrow, for the edge to carry to a purse's holder.
type Loan struct {
	customer string
	purse    Purse
	count    int
}

// Customer returns the customer's name.
func (l Loan) Customer() string { return l.customer }

// Purse returns the purse to borrow from.
func (l Loan) Purse() Purse { return l.purse }

// Count returns how many tokens to ask for.
func (l Loan) Count() int { return l.count }

// Step says what a request that needs a token is to do next.
type Step uint8

// The steps.
const (
	// Spend: a token has been taken, the request may go on.
	Spend Step = iota
	// Borrow: carry the loan to its purse and hand the grant to Deposit.
	Borrow
	// Wait: another request is borrowing; ask again after its deposit.
	Wait
	// Refuse: no purse has a token now.
	Refuse
)

// tokens are borrowed together and end together.
type tokens struct {
	count int
	end   time.Time
}

// account is what a daemon knows of one customer.
type account struct {
	split  Split
	order  []int
	number uint64
	stock  []tokens
	// dry maps a purse's index to when asking it again may help.
	dry      map[int]time.Time
	borrower bool
	waiters  int
	wake     chan struct{}
	demand   float64
	seen     time.Time
}

// Wallet holds the tokens that this daemon has borrowed. Make one with
// NewWallet.
type Wallet struct {
	self     string
	centre   string
	planner  *Planner
	accounts *table.Table[string, *account]
}

// NewWallet returns the empty wallet of the slot named self in a data centre.
func NewWallet(self, centre string, p *Planner) *Wallet {
	return &Wallet{
		planner:  p,
		self:     self,
		centre:   centre,
		accounts: table.New[string, *account](lock.Wallets),
	}
}

// Take spends a token of a customer or says how to get one. The channel is
// closed at the next deposit; it is set with Wait alone.
func (w *Wallet) Take(now time.Time, cfg *platform.Config, c platform.Customer, first bool) (Step, Loan, <-chan struct{}) {
	var (
		step Step
		loan Loan
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
func (w *Wallet) adopt(a *account, cfg *platform.Config, c platform.Customer) {
	if a.number == cfg.Number() {
		return
	}
	a.number = cfg.Number()
	a.split = w.planner.Split(cfg, c)
	a.order = w.order(cfg, a.split)
	a.dry = make(map[int]time.Time)
}

// order ranks a split's purses from near to far: the daemon's own, those of
// its data centre, those of its region, the others.
func (w *Wallet) order(cfg *platform.Config, s Split) []int {
	own, _ := cfg.Centre(w.centre)
	distance := func(index int) int {
		p := s.purses[index]
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
	order := make([]int, len(s.purses))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return distance(a) - distance(b) })
	return order
}

func (w *Wallet) step(a *account, now time.Time, customer string) (Step, Loan, <-chan struct{}) {
	if a.spend(now) {
		return Spend, Loan{}, nil
	}
	if a.borrower {
		a.waiters++
		return Wait, Loan{}, a.wake
	}
	for _, i := range a.order {
		if now.Before(a.dry[i]) {
			continue
		}
		a.borrower = true
		loan := Loan{customer: customer, purse: a.split.purses[i], count: 1 + a.ahead()}
		return Borrow, loan, nil
	}
	return Refuse, Loan{}, nil
}

// spend takes the token that ends first.
func (a *account) spend(now time.Time) bool {
	for len(a.stock) > 0 {
		t := &a.stock[0]
		if t.count > 0 && now.Before(t.end) {
			t.count--
			return true
		}
		a.stock = a.stock[1:]
	}
	return false
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

// Deposit ends a loan that was asked for at the instant asked, and wakes those
// who wait. A loan that failed is deposited as an empty grant.
func (w *Wallet) Deposit(asked, now time.Time, loan Loan, g Grant) {
	w.accounts.Update(loan.customer, func(a *account, ok bool) (*account, bool) {
		if !ok {
			return a, false
		}
		a.borrower = false
		switch {
		case g.count > 0:
			a.stock = append(a.stock, tokens{count: g.count, end: asked.Add(g.validity)})
		case loan.purse.index < len(a.split.purses):
			a.dry[loan.purse.index] = now.Add(g.again)
		}
		close(a.wake)
		a.wake = make(chan struct{})
		return a, true
	})
}

// Again returns when a purse of the customer may have a token again.
func (w *Wallet) Again(now time.Time, customer string) time.Duration {
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
func (w *Wallet) Sweep(cfg *platform.Config) {
	w.accounts.Sweep(func(name string, a *account) bool {
		_, ok := cfg.Customer(name)
		return ok || a.borrower
	})
}
