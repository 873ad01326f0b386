package customer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/customer"
)

// TestStarvedCustomer guards against customers of which hardly a request is admitted,
// although they send less than their limit allows.
func TestStarvedCustomer(t *testing.T) {
	datadriven.RunTest(t, "testdata/starved", func(t *testing.T, d *datadriven.TestData) string {
		s := customerLoad{centres: 4, seconds: 20, fraction: 0.6, seeds: 4}
		var least, moves int
		d.ScanArgs(t, "least", &least)
		d.MaybeScanArgs(t, "centres", &s.centres)
		d.MaybeScanArgs(t, "cut", &s.cut)
		d.MaybeScanArgs(t, "skewed", &s.skewed)
		d.MaybeScanArgs(t, "moves", &moves)
		s.moves = time.Duration(moves) * time.Millisecond
		var out strings.Builder
		for text := range strings.FieldsSeq(d.Input) {
			rate, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "limit of %g: %s\n", rate, s.verdict(rate, least))
		}
		return out.String()
	})
}

// customerLoad describes the load of a customer. The daemons of a data centre are reduced
// to the one that owns the customer's bucket.
type customerLoad struct {
	centres, seconds, seeds int
	// fraction is the fraction of the limit's rate that the customer sends.
	fraction float64
	// cut states that only the first data centre reaches the lessor.
	cut bool
	// skewed states that the data centres get unequal loads.
	skewed bool
	// moves is the time between two changes of each owner, or zero.
	moves time.Duration
}

// verdict compares the percentage of admitted requests with the least one that is
// expected, as the mean over all seeds. The percentage is that of the data centre with the
// lowest one, or that of all requests if the load is skewed.
func (s customerLoad) verdict(rate float64, least int) string {
	admitted := 0.0
	for seed := range s.seeds {
		h := newLoadHistory(s, rate, uint64(seed))
		h.run()
		if float64(peakInWindow(h.admittedAt, 5*time.Second)) > (rate*5+rate)*1.25+20 {
			return "beyond the bound"
		}
		admitted += 100 * h.admittedFraction() / float64(s.seeds)
	}
	if admitted < float64(least) {
		return fmt.Sprintf("%.0f%% admitted", admitted)
	}
	return "served"
}

// loadHistory is one history of a customerLoad.
type loadHistory struct {
	customerLoad
	random *rand.Rand
	bound  customer.RateBound
	limit  customer.Limit
	begin  time.Time
	owners []loadOwner
	// admittedAt holds the times of the admitted requests.
	admittedAt []time.Time
}

// loadOwner is the daemon that owns the bucket of a data centre, with the requests that
// the data centre has received and admitted.
type loadOwner struct {
	quota *customer.Quota
	// lessor is nil if it cannot be reached.
	lessor         *customer.Allocator
	since          time.Time
	rate           float64
	sent, admitted float64
}

const (
	loadStep = 10 * time.Millisecond
	// loadDelay is the time from the start of the daemons to that of the load.
	loadDelay = 10 * time.Second
	// renewalInterval is the time between two renewals of a lease.
	renewalInterval = 700 * time.Millisecond
)

func newLoadHistory(s customerLoad, rate float64, seed uint64) *loadHistory {
	return newBoundedHistory(s, customer.NewRateBound(5*time.Second, 0.25, 20), customer.NewLimit("customer-1", rate, rate, s.centres), rate, seed)
}

// newBoundedHistory returns a history with a limit, whose rate is also given, and its bound.
func newBoundedHistory(s customerLoad, bound customer.RateBound, limit customer.Limit, rate float64, seed uint64) *loadHistory {
	h := &loadHistory{
		customerLoad: s, bound: bound, begin: time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // a seeded test
		limit:  limit,
	}
	lessor := customer.NewAllocator(bound, false)
	total := 0.0
	for c := range s.centres {
		weight := 1.0
		if s.skewed {
			weight = h.random.ExpFloat64()
		}
		total += weight
		o := loadOwner{quota: customer.NewQuota(bound), since: h.begin, rate: weight}
		if !s.cut || c == 0 {
			o.lessor = lessor
		}
		h.owners = append(h.owners, o)
	}
	for c := range h.owners {
		h.owners[c].rate *= rate * s.fraction / total
	}
	return h
}

func (h *loadHistory) run() {
	end := h.begin.Add(loadDelay + time.Duration(h.seconds)*time.Second)
	for now := h.begin; now.Before(end); now = now.Add(loadStep) {
		for c := range h.owners {
			h.step(now, c)
		}
	}
}

func (h *loadHistory) step(now time.Time, centre int) {
	o, elapsed := &h.owners[centre], now.Sub(h.begin)
	if h.moves > 0 && elapsed%h.moves == h.moves*time.Duration(centre)/time.Duration(h.centres)/loadStep*loadStep {
		o.quota, o.since = customer.NewQuota(h.bound), now
		return
	}
	if elapsed%renewalInterval == 0 && o.lessor != nil {
		renewLease(now, o.quota, o.lessor, h.limit, fmt.Sprintf("owner-%d-%d", centre, o.since.UnixMilli()))
	}
	if elapsed < loadDelay {
		return
	}
	for range poisson(h.random, o.rate*loadStep.Seconds()) {
		o.sent++
		if lendOrReserve(now, o.quota, o.lessor, h.limit, o.since, 1).Count() > 0 {
			o.admitted++
			h.admittedAt = append(h.admittedAt, now)
		}
	}
}

// admittedFraction returns the least fraction of a data centre's requests that were
// admitted, or the fraction of all requests if the load is skewed.
func (h *loadHistory) admittedFraction() float64 {
	least, sent, admitted := 1.0, 0.0, 0.0
	for _, o := range h.owners {
		sent, admitted = sent+o.sent, admitted+o.admitted
		if o.sent > 0 {
			least = math.Min(least, o.admitted/o.sent)
		}
	}
	if h.skewed {
		return admitted / sent
	}
	return least
}

// poisson returns a Poisson distributed number.
func poisson(random *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		if p *= random.Float64(); p <= limit {
			return n
		}
		n++
	}
}
