package customer

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// maxPrefetch bounds the number of tokens requested in advance at a time.
const maxPrefetch = 64

// cacheState is the state of one customer at a TokenCache.
type cacheState struct {
	tokens tokenBatches
	// demand is a decaying count of requests up to lastRequest.
	demand      float64
	lastRequest time.Time
	// prefetching reports whether a prefetch of tokens is in flight.
	prefetching bool
	// emptyUntil is the time before which no tokens are requested. overLimit
	// distinguishes a customer over its limit from a limit whose state is unknown.
	emptyUntil time.Time
	overLimit  bool
}

// TakeResult is the result of taking a token from a TokenCache.
type TakeResult struct {
	ok, overLimit bool
	fetchCount    int
	retryAfter    time.Duration
}

// OK reports whether a token was taken.
func (r TakeResult) OK() bool { return r.ok }

// FetchCount returns the number of tokens that the caller must borrow now and pass to
// AddGrant. If no token was taken, one of them is for the request, and 0 means that
// the request is rejected. If a token was taken, all are a prefetch.
func (r TakeResult) FetchCount() int { return r.fetchCount }

// RetryAfter returns the time after which a rejected request may be retried, or zero
// if the request was not rejected.
func (r TakeResult) RetryAfter() time.Duration { return r.retryAfter }

// OverLimit reports whether a request was rejected because the customer is over
// its limit, rather than because the state of the limit is unknown.
func (r TakeResult) OverLimit() bool { return r.overLimit }

// TokenCache holds tokens that a daemon borrowed in advance, so that requests of
// busy customers need not wait for one. It is safe for concurrent use. Use
// NewTokenCache to create one.
type TokenCache struct {
	customers *table.Table[string, cacheState]
}

// NewTokenCache returns an empty cache.
func NewTokenCache() *TokenCache {
	return &TokenCache{customers: table.New[string, cacheState](lock.Quotas)}
}

// Take takes a token of the customer named name for a request.
func (c *TokenCache) Take(now time.Time, name string) TakeResult {
	var r TakeResult
	c.customers.Update(name, func(s cacheState, _ bool) (cacheState, bool) {
		s.demand = decay(s.demand, now.Sub(s.lastRequest), demandHalfLife) + 1
		s.lastRequest = now
		rate := s.demand * math.Ln2 / demandHalfLife.Seconds()
		target := min(int(rate*tokenValidity.Seconds()), maxPrefetch)
		r.ok = s.tokens.spend(now)
		switch left := s.tokens.count(now); {
		case !r.ok && now.Before(s.emptyUntil):
			r.retryAfter, r.overLimit = s.emptyUntil.Sub(now), s.overLimit
		case !r.ok:
			r.fetchCount = 1 + target
		case !s.prefetching && left*2 < target:
			s.prefetching = true
			r.fetchCount = target - left
		}
		return s, true
	})
	return r
}

// AddGrant adds the tokens of a grant that were requested at requestedAt, except
// for the spent ones, which the caller has already used. prefetch states that no
// request waited for the grant. A prefetch must always be ended with AddGrant, and if
// it failed, with an empty grant: until then, no other is requested.
func (c *TokenCache) AddGrant(requestedAt time.Time, name string, g Grant, spent int, prefetch bool) {
	c.customers.Update(name, func(s cacheState, _ bool) (cacheState, bool) {
		if n := g.count - spent; n > 0 {
			s.tokens = append(s.tokens, tokenBatch{count: n, expires: requestedAt.Add(g.validity)})
		}
		s.prefetching = s.prefetching && !prefetch
		return s, true
	})
}

// MarkEmpty records that no token is available until retryAfter has passed, at most
// 100 ms. overLimit states that the customer is over its limit, rather
// than that the state of the limit is unknown.
func (c *TokenCache) MarkEmpty(now time.Time, name string, retryAfter time.Duration, overLimit bool) {
	c.customers.Update(name, func(s cacheState, _ bool) (cacheState, bool) {
		s.emptyUntil, s.overLimit = now.Add(min(retryAfter, maxEmptyDuration)), overLimit
		return s, true
	})
}

// maxEmptyDuration bounds how long no tokens are requested after a rejection.
const maxEmptyDuration = 100 * time.Millisecond

// Sweep removes the state of customers without a recent request or a prefetch in
// flight. Without regular calls, it accumulates.
func (c *TokenCache) Sweep(now time.Time) {
	c.customers.Sweep(func(_ string, s cacheState) bool { return s.prefetching || now.Sub(s.lastRequest) < leaseTerm })
}
