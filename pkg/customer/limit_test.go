package customer_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// TestLimit checks that daemons in several data centres together never exceed one
// customer's limit, taken as a single token bucket. Random histories contain load,
// network partitions, pauses, restarts and new versions.
func TestLimit(t *testing.T) {
	fuzz.Run(t, "testdata/limit", map[string]fuzz.Property{
		"late":    func(t *rapid.T, broken bool) { runLimitHistory(t, faults{ignoreExpiry: broken}) },
		"restart": func(t *rapid.T, broken bool) { runLimitHistory(t, faults{fullStart: broken}) },
		"move":    func(t *rapid.T, broken bool) { runLimitHistory(t, faults{changeBackends: true, falseAck: broken}) },
		"lower":   func(t *rapid.T, _ bool) { runLimitHistory(t, faults{lowerLimit: true}) },
		"split":   func(t *rapid.T, _ bool) { checkSplit(t) },
	})
}

// faults selects the events of a history and the mechanisms that are disabled.
type faults struct {
	// changeBackends adds and removes backend servers; lowerLimit lowers the limit.
	changeBackends, lowerLimit bool
	// ignoreExpiry spends tokens after they expire; fullStart starts with full
	// allotments; falseAck reports that all daemons have acknowledged a version even
	// if they have not.
	ignoreExpiry, fullStart, falseAck bool
}

// daemon is one daemon, named by its backend server.
type daemon struct {
	name, centre string
	lender       *customer.Lender
	borrower     *customer.Borrower
	cfg          *platform.Config
	partitioned  bool
}

// delayedGrant is a grant that has not yet arrived at the borrower.
type delayedGrant struct {
	to          *daemon
	requestedAt time.Time
	arrivesAt   time.Time
	request     customer.BorrowRequest
	grant       customer.Grant
}

// limitHistory is the state of one random history of TestLimit.
type limitHistory struct {
	faults
	t        *rapid.T
	now      time.Time
	daemons  []*daemon
	versions []*platform.Config
	delayed  []delayedGrant
	spent    []time.Time
	rate     float64
	burst    int
}

// customerName is part of the input of the rendezvous hashing that selects the holders
// of allotments, so another name changes the history that a seed leads to.
const customerName = "kunde"

func runLimitHistory(t *rapid.T, f faults) {
	h := &limitHistory{faults: f, t: t, now: time.Unix(1000, 0)}
	h.rate = rapid.SampledFrom([]float64{0.5, 3, 20, 200}).Draw(t, "rate")
	h.burst = rapid.SampledFrom([]int{1, 2, 3, 7, 40, 500}).Draw(t, "burst")
	for i := range 6 {
		h.daemons = append(h.daemons, &daemon{name: "slot-" + strconv.Itoa(i), centre: "dc-" + strconv.Itoa(i%3)})
	}
	h.versions = []*platform.Config{h.newVersion(nil)}
	for _, d := range h.daemons {
		h.start(d)
	}
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			h.advance(time.Duration(rapid.IntRange(0, 300_000).Draw(t, "us")) * time.Microsecond)
		},
		"pause":   func(t *rapid.T) { h.advance(time.Duration(rapid.IntRange(0, 5_000).Draw(t, "ms")) * time.Millisecond) },
		"burst":   func(t *rapid.T) { h.sendRequests(t, rapid.IntRange(1, 30).Draw(t, "n")) },
		"request": func(t *rapid.T) { h.sendRequests(t, 1) },
		"cut":     func(t *rapid.T) { d := h.drawDaemon(t); d.partitioned = !d.partitioned },
		"restart": func(t *rapid.T) { h.restart(h.drawDaemon(t)) },
		"change":  func(t *rapid.T) { h.publishVersion(t) },
		"adopt":   func(t *rapid.T) { h.applyVersion(h.drawDaemon(t)) },
		"gossip":  func(*rapid.T) { h.exchangeVersions() },
	})
	h.advance(5 * time.Second)
	h.checkLimit()
}

func (h *limitHistory) drawDaemon(t *rapid.T) *daemon {
	return h.daemons[rapid.IntRange(0, len(h.daemons)-1).Draw(t, "slot")]
}

// newVersion returns the next version, without the given backend servers.
func (h *limitHistory) newVersion(without []bool) *platform.Config {
	b := platform.NewBuilder(uint64(len(h.versions) + 1))
	for i := range 3 {
		b.AddCentre(platform.NewCentre("dc-"+strconv.Itoa(i), "r", false, false))
	}
	for i, d := range h.daemons {
		if without == nil || !without[i] {
			b.AddBackend(platform.NewBackend(d.name, "documents", d.centre, 9, false))
		}
	}
	rate, burst := h.rate, h.burst
	if h.lowerLimit && len(h.versions) > 0 {
		rate *= rapid.Float64Range(0.1, 1).Draw(h.t, "part of the rate")
		burst = rapid.IntRange(1, h.burst).Draw(h.t, "new burst")
	}
	b.AddCustomer(platform.NewCustomer(customerName, nil, rate, burst, 1))
	cfg, err := b.Build()
	if err != nil {
		h.t.Fatal(err)
	}
	return cfg
}

func (h *limitHistory) start(d *daemon) {
	d.lender = customer.NewLender(d.name, customer.NewSplitCache())
	d.borrower = customer.NewBorrower(d.name, d.centre, customer.NewSplitCache())
	d.cfg = h.versions[len(h.versions)-1]
	at := h.now
	if h.fullStart {
		at = at.Add(-time.Hour)
	}
	d.lender.Apply(at, d.cfg)
	h.delayed = slices.DeleteFunc(h.delayed, func(g delayedGrant) bool { return g.to == d })
}

// restart restarts a daemon unless a transition is in progress. The limit is not
// guaranteed for a daemon that loses its record of the previous shares during one.
func (h *limitHistory) restart(d *daemon) {
	for _, o := range h.daemons {
		if len(o.lender.PendingBackends()) > 0 || o.cfg != h.versions[len(h.versions)-1] {
			return
		}
	}
	h.start(d)
}

func (h *limitHistory) publishVersion(t *rapid.T) {
	if !h.changeBackends && !h.lowerLimit {
		return
	}
	without := make([]bool, len(h.daemons))
	if h.changeBackends {
		for i := range without[1:] {
			without[i+1] = rapid.IntRange(0, 3).Draw(t, "without") == 0
		}
	}
	h.versions = append(h.versions, h.newVersion(without))
}

func (h *limitHistory) applyVersion(d *daemon) {
	if d.partitioned {
		return
	}
	d.cfg = h.versions[len(h.versions)-1]
	d.lender.Apply(h.now, d.cfg)
}

// exchangeVersions delivers the versions of daemons to each other, except to and from
// partitioned ones.
func (h *limitHistory) exchangeVersions() {
	for _, d := range h.daemons {
		for _, o := range h.daemons {
			if h.falseAck {
				d.lender.ObserveVersion(h.now, o.name, d.cfg.Number(), true)
			} else if !d.partitioned && !o.partitioned {
				d.lender.ObserveVersion(h.now, o.name, o.cfg.Number(), o.lender.Acknowledged())
			}
		}
	}
}

// advance advances the time by d and delivers the grants that arrive meanwhile.
func (h *limitHistory) advance(d time.Duration) {
	end := h.now.Add(d)
	for {
		slices.SortStableFunc(h.delayed, func(a, b delayedGrant) int { return a.arrivesAt.Compare(b.arrivesAt) })
		if len(h.delayed) == 0 || h.delayed[0].arrivesAt.After(end) {
			break
		}
		g := h.delayed[0]
		h.delayed = h.delayed[1:]
		h.now = g.arrivesAt
		requestedAt := g.requestedAt
		if h.ignoreExpiry {
			requestedAt = h.now.Add(time.Hour)
		}
		g.to.borrower.Complete(requestedAt, h.now, g.request, g.grant)
	}
	h.now = end
}

// sendRequests sends n requests to random daemons.
func (h *limitHistory) sendRequests(t *rapid.T, n int) {
	for range n {
		d := h.drawDaemon(t)
		for range 20 {
			if !h.take(d) {
				break
			}
		}
	}
}

// take tries to take a token for a request at d and reports whether to try again
// at once.
func (h *limitHistory) take(d *daemon) bool {
	c, ok := d.cfg.Customer(customerName)
	if !ok {
		return false
	}
	decision, request, _ := d.borrower.Take(h.now, d.cfg, c, true)
	switch decision {
	case customer.Admit:
		h.spent = append(h.spent, h.now)
		return false
	case customer.Borrow:
		return h.sendBorrowRequest(d, request)
	}
	return false
}

// sendBorrowRequest sends a borrow request to the allotment's holder. The answer
// arrives at once, with a delay, or after its tokens have expired.
func (h *limitHistory) sendBorrowRequest(d *daemon, request customer.BorrowRequest) bool {
	i := slices.IndexFunc(h.daemons, func(o *daemon) bool { return o.name == request.Allotment().Holder() })
	holder := h.daemons[i]
	if holder != d && (holder.partitioned || d.partitioned) {
		d.borrower.Complete(h.now, h.now, request, customer.NewGrant(0, 0, time.Second))
		return true
	}
	grant := holder.lender.Lend(h.now, customerName, request.Allotment().Index(), request.Count())
	delay := rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 40 * time.Millisecond, 3 * time.Second}).Draw(h.t, "delay")
	if delay == 0 {
		requestedAt := h.now
		d.borrower.Complete(requestedAt, h.now, request, grant)
		return true
	}
	h.delayed = append(h.delayed, delayedGrant{to: d, requestedAt: h.now, arrivesAt: h.now.Add(delay), request: request, grant: grant})
	return false
}

// checkLimit replays the spent tokens against a single bucket with the customer's
// limit.
func (h *limitHistory) checkLimit() {
	slices.SortFunc(h.spent, time.Time.Compare)
	level, last := float64(h.burst), h.now
	for i, at := range h.spent {
		if i > 0 {
			level = min(float64(h.burst), level+at.Sub(last).Seconds()*h.rate)
		}
		last = at
		level--
		if level < -1e-6 {
			h.t.Fatalf("limit of %g/s with burst %d exceeded at request %d", h.rate, h.burst, i)
		}
	}
}

// ExampleLender lends tokens of the only allotment of a limit over two daemons.
func ExampleLender() {
	b := platform.NewBuilder(1)
	b.AddCentre(platform.NewCentre("muc", "south", false, false))
	b.AddBackend(platform.NewBackend("documents-1", "documents", "muc", 9, false))
	b.AddBackend(platform.NewBackend("documents-2", "documents", "muc", 9, false))
	b.AddCustomer(platform.NewCustomer("customer-1", nil, 10, 1, 1))
	cfg, _ := b.Build()
	c, _ := cfg.Customer("customer-1")
	allotment := customer.SplitLimit(cfg, c).Allotments()[0]

	now := time.Unix(0, 0)
	lender := customer.NewLender(allotment.Holder(), customer.NewSplitCache())
	lender.Apply(now, cfg)
	fmt.Println(lender.Lend(now, "customer-1", allotment.Index(), 1).Count())
	fmt.Println(lender.Lend(now.Add(time.Second), "customer-1", allotment.Index(), 5).Count())
	// Output:
	// 0
	// 1
}

// checkSplit checks that the allotments of a split sum to no more than the limit
// and that each can hold a whole token.
func checkSplit(t *rapid.T) {
	b := platform.NewBuilder(1)
	centres := rapid.IntRange(1, 19).Draw(t, "centres")
	for i := range centres {
		b.AddCentre(platform.NewCentre("dc-"+strconv.Itoa(i), "r", false, false))
	}
	for i := range rapid.IntRange(1, 60).Draw(t, "slots") {
		b.AddBackend(platform.NewBackend("slot-"+strconv.Itoa(i), "documents", "dc-"+strconv.Itoa(i%centres), 9, false))
	}
	rate := rapid.Float64Range(0.01, 1e5).Draw(t, "rate")
	burst := rapid.IntRange(1, 1e5).Draw(t, "burst")
	c := platform.NewCustomer(customerName, nil, rate, burst, 1)
	b.AddCustomer(c)
	cfg, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	s := customer.SplitLimit(cfg, c)
	var rates, bursts float64
	var holders []string
	for _, a := range s.Allotments() {
		rates += a.Rate()
		bursts += a.Burst()
		holders = append(holders, a.Holder())
		if a.Burst() < 1-1e-9 {
			t.Fatalf("burst of allotment %d is less than one token: %g", a.Index(), a.Burst())
		}
	}
	if rates > rate*(1+1e-9) || bursts > float64(burst)*(1+1e-9) || len(holders) == 0 {
		t.Fatalf("sum of rates %g, limit %g; sum of bursts %g, limit %d; holders %s", rates, rate, bursts, burst, strings.Join(holders, " "))
	}
}
