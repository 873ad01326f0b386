package customer_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/customer"
)

// TestQuota checks that daemons together keep within the bound of one customer's limit
// in any window, with the tokens of owned fractions, leases and the reserve. Random
// histories contain load that shifts between data centres, restarts, partitions
// from the daemon with the allocator, and changes of that daemon.
func TestQuota(t *testing.T) {
	fuzz.Run(t, "testdata/quota", map[string]fuzz.Property{
		"window": func(t *rapid.T, broken bool) { runQuotaHistory(t, broken, 3, 30, 300) },
		"small":  func(t *rapid.T, broken bool) { runQuotaHistory(t, broken, 6, 10, 16, 35) },
	})
}

// centres is the number of data centres in a history. Each has two daemons.
const centres = 3

// member is one daemon.
type member struct {
	name  string
	quota *customer.Quota
	// allocator is used in broken histories, in which each daemon has its own.
	allocator   *customer.Allocator
	partitioned bool
	// ownerSince is when the daemon began to lend the tokens that its data centre owns,
	// and ownerUntil when it stops after the other daemons chose another owner.
	ownerSince, ownerUntil time.Time
}

// quotaHistory is the state of one random history of TestQuota.
type quotaHistory struct {
	now       time.Time
	limit     customer.Limit
	bound     customer.RateBound
	members   []*member
	allocator *customer.Allocator
	// load is the number of requests per step in each data centre.
	load [centres]int
	// spendDelay is the time between the lending of tokens and their use.
	spendDelay time.Duration
	admitted   []time.Time
	broken     bool
}

// owner returns the daemon that lends the tokens that a data centre owns.
func (h *quotaHistory) owner(centre int) *member {
	for _, m := range h.members[2*centre : 2*centre+2] {
		if !m.ownerSince.IsZero() && m.ownerUntil.IsZero() {
			return m
		}
	}
	panic("data centre has no owner")
}

func (h *quotaHistory) step() {
	h.now = h.now.Add(50 * time.Millisecond)
	for c, n := range h.load {
		lenders := []*member{h.owner(c)}
		for _, m := range h.members[2*c : 2*c+2] {
			if m.ownerUntil.After(h.now) {
				lenders = append(lenders, m)
			}
		}
		for _, m := range lenders {
			for range n {
				h.borrow(m)
			}
		}
	}
}

func (h *quotaHistory) borrow(m *member) {
	since := m.ownerSince
	if m.ownerUntil.Before(h.now) && !m.ownerUntil.IsZero() {
		since = time.Time{}
	}
	lessor := h.allocator
	if m.partitioned {
		lessor = nil
	}
	g := lendOrReserve(h.now, m.quota, lessor, h.limit, since, 2)
	for range g.Count() {
		h.admitted = append(h.admitted, h.now.Add(min(h.spendDelay, g.Validity())))
	}
}

func (h *quotaHistory) renewLeases() {
	for _, m := range h.members {
		if m.partitioned {
			continue
		}
		allocator := h.allocator
		if h.broken {
			allocator = m.allocator
		}
		renewLease(h.now, m.quota, allocator, h.limit, m.name)
	}
}

// lendOrReserve lends up to n tokens from a quota, or one of the lessor's reserve. lessor is
// nil if it cannot be reached.
func lendOrReserve(now time.Time, q *customer.Quota, lessor *customer.Allocator, l customer.Limit, since time.Time, n int) customer.Grant {
	g, askReserve := q.Lend(now, l, since, n)
	if askReserve && lessor != nil {
		if g = lessor.LendReserve(now, l); g.Count() == 0 {
			q.MarkReserveEmpty(now, "customer-1", g.RetryAfter())
		}
	}
	return g
}

// renewLease reports a daemon's demand to the lessor, if there is any, and sets its lease.
func renewLease(now time.Time, q *customer.Quota, lessor *customer.Allocator, l customer.Limit, daemon string) {
	reported, rate, held := false, 0.0, 0.0
	q.EachDemand(now, func(_ string, r, f float64) { reported, rate, held = true, r, f })
	if reported {
		q.SetLease(now, "customer-1", lessor.Renew(now, l, daemon, rate, held))
	}
}

// peakInWindow returns the largest number of times within a window. The times are sorted.
func peakInWindow(times []time.Time, length time.Duration) int {
	peak, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= length {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

// runQuotaHistory runs one history with one of the rates. In a broken one, each daemon
// allocates leases by itself.
func runQuotaHistory(t *rapid.T, broken bool, rates ...float64) {
	const length, relativeTolerance, absoluteTolerance = 5 * time.Second, 0.25, 20.0
	h := &quotaHistory{bound: customer.NewRateBound(length, relativeTolerance, absoluteTolerance), broken: broken, now: time.Unix(1000, 0)}
	rate := rapid.SampledFrom(rates).Draw(t, "rate")
	burst := rate * rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "burst")
	h.limit = customer.NewLimit("customer-1", rate, burst, centres)
	h.allocator = customer.NewAllocator(h.bound, true)
	for i := range 2 * centres {
		m := &member{name: "d" + strconv.Itoa(i), quota: customer.NewQuota(h.bound), allocator: customer.NewAllocator(h.bound, true)}
		if i%2 == 0 {
			m.ownerSince = h.now
		}
		h.members = append(h.members, m)
	}
	drawMember := func(t *rapid.T) int { return rapid.IntRange(0, len(h.members)-1).Draw(t, "member") }
	t.Repeat(map[string]func(*rapid.T){
		"second": func(*rapid.T) {
			for range 20 {
				h.step()
			}
			h.renewLeases()
		},
		"load": func(t *rapid.T) {
			h.load[drawMember(t)/2] = rapid.IntRange(0, int(rate/5)+1).Draw(t, "load")
		},
		"restart": func(t *rapid.T) { h.members[drawMember(t)].quota = customer.NewQuota(h.bound) },
		"cut":     func(t *rapid.T) { m := h.members[drawMember(t)]; m.partitioned = !m.partitioned },
		"late": func(t *rapid.T) {
			h.spendDelay = time.Duration(rapid.IntRange(0, 400).Draw(t, "late")) * time.Millisecond
		},
		"keeper": func(t *rapid.T) {
			c := drawMember(t) / 2
			old := h.owner(c)
			for _, m := range h.members[2*c : 2*c+2] {
				if m != old && m.ownerUntil.Before(h.now) {
					old.ownerUntil = h.now.Add(400 * time.Millisecond)
					m.ownerSince, m.ownerUntil = h.now, time.Time{}
					return
				}
			}
		},
		"splitter": func(*rapid.T) {
			if !slices.ContainsFunc(h.members, func(m *member) bool { return m.partitioned }) {
				h.allocator = customer.NewAllocator(h.bound, false)
			}
		},
	})
	slices.SortFunc(h.admitted, time.Time.Compare)
	allowed := (rate*length.Seconds()+burst)*(1+relativeTolerance) + absoluteTolerance
	if n := peakInWindow(h.admitted, length); float64(n) > allowed {
		t.Fatalf("%d requests admitted within %s, want at most %g", n, length, allowed)
	}
}

func ExampleQuota() {
	bound := customer.NewRateBound(5*time.Second, 0.25, 20)
	quota := customer.NewQuota(bound)
	limit := customer.NewLimit("customer-1", 100, 50, 3)
	begin := time.Unix(0, 0)
	g, _ := quota.Lend(begin, limit, begin, 1)
	fmt.Println(g.Count())
	g, _ = quota.Lend(begin.Add(time.Second), limit, begin, 4)
	fmt.Println(g.Count())
	// Output:
	// 0
	// 4
}

func ExampleAllocator() {
	bound := customer.NewRateBound(5*time.Second, 0.25, 20)
	allocator := customer.NewAllocator(bound, true)
	limit := customer.NewLimit("customer-1", 100, 50, 3)
	now := time.Unix(0, 0)
	// A new allocator grants no lease at first, since daemons may hold leases of its
	// predecessor.
	fmt.Println(allocator.Renew(now, limit, "daemon-1", 80, 0))
	now = now.Add(2 * time.Second)
	fmt.Println(allocator.Renew(now, limit, "daemon-1", 80, 0) > 0.2)
	// Output:
	// 0
	// true
}

func ExampleTokenCache() {
	cache := customer.NewTokenCache()
	now := time.Unix(0, 0)
	r := cache.Take(now, "customer-1")
	fmt.Println(r.OK(), r.FetchCount())
	cache.AddGrant(now, "customer-1", customer.NewGrant(2, time.Second, 0), 1, false)
	fmt.Println(cache.Take(now, "customer-1").OK())
	cache.MarkEmpty(now, "customer-1", time.Second, true)
	r = cache.Take(now, "customer-1")
	fmt.Println(r.OK(), r.OverLimit(), r.RetryAfter())
	// Output:
	// false 1
	// true
	// false true 100ms
}
