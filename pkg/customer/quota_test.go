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

// TestQuota lets daemons spend one customer's leased parts and its reserve
// through random histories of load that moves between them, restarts, cuts from
// the daemon that splits, and changes of that daemon.
func TestQuota(t *testing.T) {
	fuzz.Run(t, "testdata/quota", map[string]fuzz.Property{
		"window": func(t *rapid.T, broken bool) { spend(t, broken) },
	})
}

// centres is the number of data centres in a history, with two daemons each.
const centres = 3

// member is one daemon in a history.
type member struct {
	name  string
	quota *customer.Quota
	// shares is the daemon's own, in broken histories.
	shares *customer.Allocator
	cut    bool
	// since is when it began to keep the limit of its data centre, and until when
	// it goes on after the others think that another one does.
	since, until time.Time
}

// history is one customer's limit over a fleet.
type history struct {
	now     time.Time
	limit   customer.Limit
	window  customer.Window
	members []*member
	shares  *customer.Allocator
	// load is how many requests come in each data centre in each step.
	load [centres]int
	// late is how long lent tokens are held before they are spent.
	late   time.Duration
	passed []time.Time
	broken bool
}

// keeper returns the daemon that a data centre's requests ask for tokens.
func (h *history) keeper(centre int) *member {
	for _, m := range h.members[2*centre : 2*centre+2] {
		if !m.since.IsZero() && m.until.IsZero() {
			return m
		}
	}
	panic("no keeper")
}

func (h *history) step() {
	h.now = h.now.Add(50 * time.Millisecond)
	for c, n := range h.load {
		asked := []*member{h.keeper(c)}
		for _, m := range h.members[2*c : 2*c+2] {
			if m.until.After(h.now) {
				asked = append(asked, m)
			}
		}
		for _, m := range asked {
			for range n {
				h.ask(m)
			}
		}
	}
}

func (h *history) ask(m *member) {
	since := m.since
	if m.until.Before(h.now) && !m.until.IsZero() {
		since = time.Time{}
	}
	g, reserve := m.quota.Lend(h.now, h.limit, since, 2)
	if reserve && !m.cut {
		if g = h.shares.LendReserve(h.now, h.limit); g.Count() == 0 {
			m.quota.MarkReserveEmpty(h.now, "kunde", g.RetryAfter())
		}
	}
	for range g.Count() {
		h.passed = append(h.passed, h.now.Add(min(h.late, g.Validity())))
	}
}

func (h *history) report() {
	for _, m := range h.members {
		if m.cut {
			continue
		}
		shares := h.shares
		if h.broken {
			shares = m.shares
		}
		asked, rate, held := false, 0.0, 0.0
		m.quota.EachDemand(h.now, func(_ string, r, p float64) { asked, rate, held = true, r, p })
		if asked {
			m.quota.SetLease(h.now, "kunde", shares.Renew(h.now, h.limit, m.name, rate, held))
		}
	}
}

// spend plays a history. In a broken one each daemon splits limits by itself.
func spend(t *rapid.T, broken bool) {
	const length, over, slack = 5 * time.Second, 0.25, 20.0
	h := &history{window: customer.NewWindow(length, over, slack), broken: broken, now: time.Unix(1000, 0)}
	rate := rapid.SampledFrom([]float64{3, 30, 300}).Draw(t, "rate")
	burst := rate * rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "burst")
	h.limit = customer.NewLimit("kunde", rate, burst, centres)
	h.shares = customer.NewAllocator(h.window, true)
	for i := range 2 * centres {
		m := &member{name: "d" + strconv.Itoa(i), quota: customer.NewQuota(h.window), shares: customer.NewAllocator(h.window, true)}
		if i%2 == 0 {
			m.since = h.now
		}
		h.members = append(h.members, m)
	}
	draw := func(t *rapid.T) int { return rapid.IntRange(0, len(h.members)-1).Draw(t, "member") }
	t.Repeat(map[string]func(*rapid.T){
		"second": func(*rapid.T) {
			for range 20 {
				h.step()
			}
			h.report()
		},
		"load": func(t *rapid.T) {
			h.load[draw(t)/2] = rapid.IntRange(0, int(rate/5)+1).Draw(t, "load")
		},
		"restart": func(t *rapid.T) { h.members[draw(t)].quota = customer.NewQuota(h.window) },
		"cut":     func(t *rapid.T) { m := h.members[draw(t)]; m.cut = !m.cut },
		"late":    func(t *rapid.T) { h.late = time.Duration(rapid.IntRange(0, 400).Draw(t, "late")) * time.Millisecond },
		"keeper": func(t *rapid.T) {
			c := draw(t) / 2
			old := h.keeper(c)
			for _, m := range h.members[2*c : 2*c+2] {
				if m != old && m.until.Before(h.now) {
					old.until = h.now.Add(400 * time.Millisecond)
					m.since, m.until = h.now, time.Time{}
					return
				}
			}
		},
		"splitter": func(*rapid.T) {
			if !slices.ContainsFunc(h.members, func(m *member) bool { return m.cut }) {
				h.shares = customer.NewAllocator(h.window, false)
			}
		},
	})
	slices.SortFunc(h.passed, time.Time.Compare)
	allowed := (rate*length.Seconds()+burst)*(1+over) + slack
	from := 0
	for to, at := range h.passed {
		for at.Sub(h.passed[from]) >= length {
			from++
		}
		if n := to - from + 1; float64(n) > allowed {
			t.Fatalf("%d requests within %s, allowed %g", n, length, allowed)
		}
	}
}

func ExampleQuota() {
	window := customer.NewWindow(5*time.Second, 0.25, 20)
	quota := customer.NewQuota(window)
	limit := customer.NewLimit("kunde", 100, 50, 3)
	begin := time.Unix(0, 0)
	g, _ := quota.Lend(begin, limit, begin, 1)
	fmt.Println(g.Count())
	g, _ = quota.Lend(begin.Add(time.Second), limit, begin, 4)
	fmt.Println(g.Count())
	// Output:
	// 0
	// 3
}

func ExampleAllocator() {
	window := customer.NewWindow(5*time.Second, 0.25, 20)
	shares := customer.NewAllocator(window, true)
	limit := customer.NewLimit("kunde", 100, 50, 3)
	now := time.Unix(0, 0)
	// At first nothing is leased: others may hold leases of another daemon's.
	fmt.Println(shares.Renew(now, limit, "daemon-1", 80, 0))
	now = now.Add(2 * time.Second)
	fmt.Println(shares.Renew(now, limit, "daemon-1", 80, 0) > 0.25)
	// Output:
	// 0
	// true
}

func ExampleTokenCache() {
	p := customer.NewTokenCache()
	now := time.Unix(0, 0)
	t := p.Take(now, "kunde")
	fmt.Println(t.OK(), t.FetchCount())
	p.AddGrant(now, "kunde", customer.NewGrant(2, time.Second, 0), 1, false)
	fmt.Println(p.Take(now, "kunde").OK())
	p.MarkEmpty(now, "kunde", time.Second, true)
	t = p.Take(now, "kunde")
	fmt.Println(t.OK(), t.OverLimit(), t.RetryAfter())
	// Output:
	// false 1
	// true
	// false true 100ms
}
