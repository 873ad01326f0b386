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
	// empty is until when there is no use in asking, and over whether the customer
	// is beyond its limit until then, rather than that nobody can tell.
	empty time.Time
	over  bool
}

// TakeResult is the answer to a request for a token.
type TakeResult struct {
	ok, over bool
	ask      int
	again    time.Duration
}

// OK says whether the request has a token.
func (t TakeResult) OK() bool { return t.ok }

// FetchCount returns how many tokens to ask for: those of the request and some ahead where
// it has none, or only those ahead. Zero for a request that has none means that it
// is refused.
func (t TakeResult) FetchCount() int { return t.ask }

// RetryAfter returns when the caller of a refused request may come back.
func (t TakeResult) RetryAfter() time.Duration { return t.again }

// OverLimit says whether a refused request is beyond the limit, rather than that nobody
// can tell.
func (t TakeResult) OverLimit() bool { return t.over }

// TokenCache holds tokens that a daemon was lent ahead of the requests that will
// spend them, so that requests of busy customers need not wait for one. Make one
// with NewPrefetch.
type TokenCache struct {
	customers *table.Table[string, fetched]
}

// NewTokenCache returns an empty prefetch.
func NewTokenCache() *TokenCache {
	return &TokenCache{customers: table.New[string, fetched](lock.Quotas)}
}

// Take takes a token for a request.
func (p *TokenCache) Take(now time.Time, name string) TakeResult {
	var t TakeResult
	p.customers.Update(name, func(f fetched, _ bool) (fetched, bool) {
		f.demand = decay(f.demand, now.Sub(f.seen), demandHalfLife) + 1
		f.seen = now
		rate := f.demand * math.Ln2 / demandHalfLife.Seconds()
		ahead := min(int(rate*lentFor.Seconds()), prefetchMost)
		t.ok = f.stock.spend(now)
		switch left := f.stock.count(now); {
		case !t.ok && now.Before(f.empty):
			t.again, t.over = f.empty.Sub(now), f.over
		case !t.ok:
			t.ask = 1 + ahead
		case !f.asking && left*2 < ahead:
			f.asking = true
			t.ask = ahead - left
		}
		return f, true
	})
	return t
}

// AddGrant takes in tokens that were asked for at an instant, but for those that
// were spent at once. ahead says that no request waited for them.
func (p *TokenCache) AddGrant(asked time.Time, name string, g Grant, spent int, ahead bool) {
	p.customers.Update(name, func(f fetched, _ bool) (fetched, bool) {
		if n := g.count - spent; n > 0 {
			f.stock = append(f.stock, tokens{count: n, end: asked.Add(g.validity)})
		}
		f.asking = f.asking && !ahead
		return f, true
	})
}

// MarkEmpty notes that there is no token for a time, since the customer is over its
// limit or since nobody could tell.
func (p *TokenCache) MarkEmpty(now time.Time, name string, again time.Duration, over bool) {
	p.customers.Update(name, func(f fetched, _ bool) (fetched, bool) {
		f.empty, f.over = now.Add(min(again, emptyMost)), over
		return f, true
	})
}

// emptyMost bounds how long a daemon does not ask again that was refused a token.
const emptyMost = 100 * time.Millisecond

// Sweep forgets customers that were not asked for lately.
func (p *TokenCache) Sweep(now time.Time) {
	p.customers.Sweep(func(_ string, f fetched) bool { return f.asking || now.Sub(f.seen) < leaseTerm })
}
