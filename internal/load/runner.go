package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/lycheehead/lycheehead/internal/schema"
)

const (
	// connections is how many idle connections are kept to one daemon.
	connections = 256
	// Bounds and digits of the histograms, in microseconds.
	shortest = 1
	longest  = 120_000_000
	digits   = 3
)

// Runner drives one plan. Make one with NewRunner.
type Runner struct {
	// run tells this run's requests from those of others at the same backend
	// servers.
	run    string
	plan   *schema.Plan
	client *http.Client

	mu      sync.Mutex
	results []*result
	sends   []sent
	seconds map[uint32]*second
	reasons map[string]uint64
	crossed uint64
}

// result is what became of a stream's requests.
type result struct {
	stream                                           *schema.Stream
	asked, served, limited, refused, unknown, failed uint64
	times                                            *hdrhistogram.Histogram
}

type second struct {
	asked, served uint64
}

// NewRunner returns the runner of a plan.
func NewRunner(p *schema.Plan) *Runner {
	r := &Runner{
		run:     uuid.NewString()[:8],
		plan:    p,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}},
		seconds: make(map[uint32]*second),
		reasons: make(map[string]uint64),
	}
	for _, s := range p.GetStreams() {
		r.results = append(r.results, &result{stream: s, times: hdrhistogram.New(shortest, longest, digits)})
	}
	return r
}

// Run drives the plan to its end, waits for the last answers, checks both ends
// and reports.
func (r *Runner) Run(ctx context.Context) (*schema.Report, error) {
	begin := time.Now()
	var group sync.WaitGroup
	for i, res := range r.results {
		group.Go(func() { r.drive(ctx, begin, i, res, &group) })
	}
	group.Wait()
	report := r.report()
	if err := r.checkEnds(ctx, report); err != nil {
		return nil, fmt.Errorf("check both ends: %w", err)
	}
	return report, nil
}

// drive sends a stream's requests as they are due.
func (r *Runner) drive(ctx context.Context, begin time.Time, index int, res *result, group *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(r.plan.GetSeed(), uint64(index))) //nolint:gosec // not for secrets
	at := res.stream.GetStart().AsDuration()
	stop := r.plan.GetDuration().AsDuration()
	if s := res.stream.GetStop().AsDuration(); s > 0 {
		stop = min(s, stop)
	}
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / res.stream.GetRate() * float64(time.Second))
		if at >= stop || !sleepUntil(ctx, begin.Add(at)) {
			return
		}
		q := &request{
			stream: res.stream,
			id:     fmt.Sprintf("%s-s%d-%d", r.run, index, n),
			due:    begin.Add(at),
			second: uint32(at / time.Second),
			first:  rnd.IntN(len(r.plan.GetTargets())),
			seed:   rnd.Uint64(),
		}
		group.Go(func() { r.note(res, q, r.ask(ctx, q)) })
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// note counts a request's end.
func (r *Runner) note(res *result, q *request, e ending) {
	took := time.Since(q.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second(q)
	s.asked++
	res.asked++
	if e.reason != "" {
		r.reasons[e.reason]++
	}
	switch e.kind {
	case served:
		s.served++
		res.served++
		_ = res.times.RecordValue(min(max(took.Microseconds(), shortest), longest))
	case limited:
		res.limited++
	case refused:
		res.refused++
	case unknown:
		res.unknown++
	case failed:
		res.failed++
	}
}

// second returns the count of a request's second. Greedy requests count for
// none.
func (r *Runner) second(q *request) *second {
	if q.stream.GetGreedy() {
		return &second{}
	}
	s := r.seconds[q.second]
	if s == nil {
		s = &second{}
		r.seconds[q.second] = s
	}
	return s
}
