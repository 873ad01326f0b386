package customer

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// prefetchMost bounds how many tokens are asked for at once.
const prefetchMost = 64

// fetched is what a daemon holds of one customer's tokens.
type fetched struct {
	stock  stock
	demand float64
	seen   time.Time
	// asking says that tokens are on their way that no request waits for.
	asking bool
	// empty is until when there is no use in asking, and again what was told then.
	empty time.Time
}

// Prefetch holds tokens that a daemon was lent ahead of the requests that will
// spend them, so that requests of busy customers need not wait for one. Make one
// with NewPrefetch.
type Prefetch struct {
	customers *table.Table[string, fetched]
}

// NewPrefetch returns an empty prefetch.
func NewPrefetch() *Prefetch {
	return &Prefetch{customers: table.New[string, fetched](lock.Quotas)}
}

// Take takes a token for a request. Where there is none, ask is how many tokens
// the request has to ask for itself, or again when its caller may come back.
// Where there is one, ask is how many more to ask for beside the request.
func (p *Prefetch) Take(now time.Time, name string) (ok bool, ask int, again time.Duration) {
	p.customers.Update(name, func(f fetched, _ bool) (fetched, bool) {
		f.demand = decay(f.demand, now.Sub(f.seen), demandHalfLife) + 1
		f.seen = now
		rate := f.demand * math.Ln2 / demandHalfLife.Seconds()
		ahead := min(int(rate*lentFor.Seconds()), prefetchMost)
		ok = f.stock.spend(now)
		switch left := f.stock.count(now); {
		case !ok && now.Before(f.empty):
			again = f.empty.Sub(now)
		case !ok:
			ask = 1 + ahead
		case !f.asking && left*2 < ahead:
			f.asking = true
			ask = ahead - left
		}
		return f, true
	})
	return ok, ask, again
}

// Deposit takes in tokens that were asked for at an instant, but for those that
// were spent at once. ahead says that no request waited for them.
func (p *Prefetch) Deposit(asked, now time.Time, name string, g Grant, spent int, ahead bool) {
	p.customers.Update(name, func(f fetched, _ bool) (fetched, bool) {
		if n := g.count - spent; n > 0 {
			f.stock = append(f.stock, tokens{count: n, end: asked.Add(g.validity)})
		}
		if g.count == 0 && g.again > 0 {
			f.empty = now.Add(min(g.again, emptyMost))
		}
		if ahead {
			f.asking = false
		}
		return f, true
	})
}

// emptyMost bounds how long a daemon does not ask again that was refused a token.
const emptyMost = 100 * time.Millisecond

// Sweep forgets customers that were not asked for lately.
func (p *Prefetch) Sweep(now time.Time) {
	p.customers.Sweep(func(_ string, f fetched) bool { return f.asking || now.Sub(f.seen) < leaseTerm })
}
