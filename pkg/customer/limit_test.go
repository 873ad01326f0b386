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

// TestLimit lets daemons in several data centres spend one customer's limit
// through random histories of load, cuts, pauses, restarts and new versions, and
// compares with the one bucket that the customer was promised.
func TestLimit(t *testing.T) {
	fuzz.Run(t, "testdata/limit", map[string]fuzz.Property{
		"late":    func(t *rapid.T, broken bool) { play(t, faults{late: broken}) },
		"restart": func(t *rapid.T, broken bool) { play(t, faults{fullStart: broken}) },
		"move":    func(t *rapid.T, broken bool) { play(t, faults{moves: true, hasty: broken}) },
		"lower":   func(t *rapid.T, _ bool) { play(t, faults{lowers: true}) },
		"split":   func(t *rapid.T, _ bool) { checkSplit(t) },
	})
}

// faults says what happens in a history, and which mechanism is off.
type faults struct {
	// moves takes slots in and out of the bundle; lowers changes the limit.
	moves, lowers bool
	// late spends tokens whatever their validity; fullStart starts allotments full;
	// hasty tells that all slots have heard a version that they have not.
	late, fullStart, hasty bool
}

// slot is one daemon in a history.
type slot struct {
	name, centre string
	lender       *customer.Lender
	borrower     *customer.Borrower
	cfg          *platform.Config
	cut          bool
}

// loan is a borrowed grant on its way.
type loan struct {
	to      *slot
	asked   time.Time
	arrives time.Time
	loan    customer.BorrowRequest
	grant   customer.Grant
}

// world is a history under way.
type world struct {
	faults
	t        *rapid.T
	now      time.Time
	slots    []*slot
	versions []*platform.Config
	loans    []loan
	spent    []time.Time
	rate     float64
	burst    int
}

const tenant = "kunde"

func play(t *rapid.T, f faults) {
	w := &world{faults: f, t: t, now: time.Unix(1000, 0)}
	w.rate = rapid.SampledFrom([]float64{0.5, 3, 20, 200}).Draw(t, "rate")
	w.burst = rapid.SampledFrom([]int{1, 2, 3, 7, 40, 500}).Draw(t, "burst")
	for i := range 6 {
		w.slots = append(w.slots, &slot{name: "slot-" + strconv.Itoa(i), centre: "dc-" + strconv.Itoa(i%3)})
	}
	w.versions = []*platform.Config{w.version(nil)}
	for _, s := range w.slots {
		w.start(s)
	}
	t.Repeat(map[string]func(*rapid.T){
		"time":    func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(0, 300_000).Draw(t, "us")) * time.Microsecond) },
		"pause":   func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(0, 5_000).Draw(t, "ms")) * time.Millisecond) },
		"burst":   func(t *rapid.T) { w.load(t, rapid.IntRange(1, 30).Draw(t, "n")) },
		"request": func(t *rapid.T) { w.load(t, 1) },
		"cut":     func(t *rapid.T) { s := w.draw(t); s.cut = !s.cut },
		"restart": func(t *rapid.T) { w.restart(w.draw(t)) },
		"change":  func(t *rapid.T) { w.change(t) },
		"adopt":   func(t *rapid.T) { w.adopt(w.draw(t)) },
		"gossip":  func(*rapid.T) { w.gossip() },
	})
	w.pass(5 * time.Second)
	w.judge()
}

func (w *world) draw(t *rapid.T) *slot {
	return w.slots[rapid.IntRange(0, len(w.slots)-1).Draw(t, "slot")]
}

// version makes the next version, without some of the slots.
func (w *world) version(without []bool) *platform.Config {
	d := platform.NewBuilder(uint64(len(w.versions) + 1))
	for i := range 3 {
		d.AddCentre(platform.NewCentre("dc-"+strconv.Itoa(i), "r", false, false))
	}
	for i, s := range w.slots {
		if without == nil || !without[i] {
			d.AddBackend(platform.NewBackend(s.name, "doku", s.centre, 9, false))
		}
	}
	rate, burst := w.rate, w.burst
	if w.lowers && len(w.versions) > 0 {
		rate *= rapid.Float64Range(0.1, 1).Draw(w.t, "part of the rate")
		burst = rapid.IntRange(1, w.burst).Draw(w.t, "new burst")
	}
	d.AddCustomer(platform.NewCustomer(tenant, nil, rate, burst, 1))
	cfg, err := d.Build()
	if err != nil {
		w.t.Fatal(err)
	}
	return cfg
}

func (w *world) start(s *slot) {
	s.lender = customer.NewLender(s.name, customer.NewSplitCache())
	s.borrower = customer.NewBorrower(s.name, s.centre, customer.NewSplitCache())
	s.cfg = w.versions[len(w.versions)-1]
	at := w.now
	if w.fullStart {
		at = at.Add(-time.Hour)
	}
	s.lender.Apply(at, s.cfg)
	w.loans = slices.DeleteFunc(w.loans, func(l loan) bool { return l.to == s })
}

// restart restarts a daemon, unless a move of shares is under way: what a
// daemon learns then about the shares before is not proved.
func (w *world) restart(s *slot) {
	for _, o := range w.slots {
		if len(o.lender.PendingSlots()) > 0 || o.cfg != w.versions[len(w.versions)-1] {
			return
		}
	}
	w.start(s)
}

func (w *world) change(t *rapid.T) {
	if !w.moves && !w.lowers {
		return
	}
	without := make([]bool, len(w.slots))
	if w.moves {
		for i := range without[1:] {
			without[i+1] = rapid.IntRange(0, 3).Draw(t, "without") == 0
		}
	}
	w.versions = append(w.versions, w.version(without))
}

func (w *world) adopt(s *slot) {
	if s.cut {
		return
	}
	s.cfg = w.versions[len(w.versions)-1]
	s.lender.Apply(w.now, s.cfg)
}

// gossip lets the slots that are not cut off tell each other their versions.
func (w *world) gossip() {
	for _, s := range w.slots {
		for _, o := range w.slots {
			if w.hasty {
				s.lender.ObserveVersion(w.now, o.name, s.cfg.Number(), true)
			} else if !s.cut && !o.cut {
				s.lender.ObserveVersion(w.now, o.name, o.cfg.Number(), o.lender.Acknowledged())
			}
		}
	}
}

// pass lets time pass and delivers the loans due meanwhile.
func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for {
		slices.SortStableFunc(w.loans, func(a, b loan) int { return a.arrives.Compare(b.arrives) })
		if len(w.loans) == 0 || w.loans[0].arrives.After(end) {
			break
		}
		l := w.loans[0]
		w.loans = w.loans[1:]
		w.now = l.arrives
		asked := l.asked
		if w.late {
			asked = w.now.Add(time.Hour)
		}
		l.to.borrower.Complete(asked, w.now, l.loan, l.grant)
	}
	w.now = end
}

// load makes n requests at random slots.
func (w *world) load(t *rapid.T, n int) {
	for range n {
		s := w.draw(t)
		for range 20 {
			if !w.take(s) {
				break
			}
		}
	}
}

// take makes one request; it returns whether to ask once more at once.
func (w *world) take(s *slot) bool {
	c, ok := s.cfg.Customer(tenant)
	if !ok {
		return false
	}
	step, l, _ := s.borrower.Take(w.now, s.cfg, c, true)
	switch step {
	case customer.Admit:
		w.spent = append(w.spent, w.now)
		return false
	case customer.Borrow:
		return w.borrow(s, l)
	}
	return false
}

// borrow carries a loan. Its answer comes at once, late, or much too late.
func (w *world) borrow(s *slot, l customer.BorrowRequest) bool {
	i := slices.IndexFunc(w.slots, func(o *slot) bool { return o.name == l.Allotment().Holder() })
	holder := w.slots[i]
	if holder != s && (holder.cut || s.cut) {
		s.borrower.Complete(w.now, w.now, l, customer.NewGrant(0, 0, time.Second))
		return true
	}
	grant := holder.lender.Lend(w.now, tenant, l.Allotment().Index(), l.Count())
	delay := rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 40 * time.Millisecond, 3 * time.Second}).Draw(w.t, "delay")
	if delay == 0 {
		asked := w.now
		s.borrower.Complete(asked, w.now, l, grant)
		return true
	}
	w.loans = append(w.loans, loan{to: s, asked: w.now, arrives: w.now.Add(delay), loan: l, grant: grant})
	return false
}

// judge replays all that was spent against the one bucket that was promised.
func (w *world) judge() {
	slices.SortFunc(w.spent, time.Time.Compare)
	level, last := float64(w.burst), w.now
	for i, at := range w.spent {
		if i > 0 {
			level = min(float64(w.burst), level+at.Sub(last).Seconds()*w.rate)
		}
		last = at
		level--
		if level < -1e-6 {
			w.t.Fatalf("over the limit of %g/s and %d at request %d", w.rate, w.burst, i)
		}
	}
}

// ExampleLender shows two daemons of which one keeps an allotment.
func ExampleLender() {
	d := platform.NewBuilder(1)
	d.AddCentre(platform.NewCentre("muc", "bayern", false, false))
	d.AddBackend(platform.NewBackend("doku-1", "doku", "muc", 9, false))
	d.AddBackend(platform.NewBackend("doku-2", "doku", "muc", 9, false))
	d.AddCustomer(platform.NewCustomer("kunde", nil, 10, 1, 1))
	cfg, _ := d.Build()
	kunde, _ := cfg.Customer("kunde")
	allotment := customer.SplitLimit(cfg, kunde).Allotments()[0]

	now := time.Unix(0, 0)
	lender := customer.NewLender(allotment.Holder(), customer.NewSplitCache())
	lender.Apply(now, cfg)
	fmt.Println(lender.Lend(now, "kunde", allotment.Index(), 1).Count())
	fmt.Println(lender.Lend(now.Add(time.Second), "kunde", allotment.Index(), 5).Count())
	// Output:
	// 0
	// 1
}

// checkSplit checks that a split never promises more than the limit, and that
// each allotment can have a whole token.
func checkSplit(t *rapid.T) {
	d := platform.NewBuilder(1)
	centres := rapid.IntRange(1, 19).Draw(t, "centres")
	for i := range centres {
		d.AddCentre(platform.NewCentre("dc-"+strconv.Itoa(i), "r", false, false))
	}
	for i := range rapid.IntRange(1, 60).Draw(t, "slots") {
		d.AddBackend(platform.NewBackend("slot-"+strconv.Itoa(i), "doku", "dc-"+strconv.Itoa(i%centres), 9, false))
	}
	rate := rapid.Float64Range(0.01, 1e5).Draw(t, "rate")
	burst := rapid.IntRange(1, 1e5).Draw(t, "burst")
	c := platform.NewCustomer("kunde", nil, rate, burst, 1)
	d.AddCustomer(c)
	cfg, err := d.Build()
	if err != nil {
		t.Fatal(err)
	}
	s := customer.SplitLimit(cfg, c)
	var rates, bursts float64
	var holders []string
	for _, p := range s.Allotments() {
		rates += p.Rate()
		bursts += p.Burst()
		holders = append(holders, p.Holder())
		if p.Burst() < 1-1e-9 {
			t.Fatalf("allotment %d never has a whole token: %g", p.Index(), p.Burst())
		}
	}
	if rates > rate*(1+1e-9) || bursts > float64(burst)*(1+1e-9) || len(holders) == 0 {
		t.Fatalf("rates %g of %g, bursts %g of %d over %s", rates, rate, bursts, burst, strings.Join(holders, " "))
	}
}
