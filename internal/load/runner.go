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
	// maxIdleConns is how many idle maxIdleConns are kept to one daemon.
	maxIdleConns = 256
	// Bounds and digits of the histograms, in microseconds.
	minLatencyMicros = 1
	maxLatencyMicros  = 120_000_000
	latencyDigits   = 3
)

// Runner drives one plan. Make one with NewRunner.
type Runner struct {
	// runID tells this runID's requests from those of others at the same backend
	// servers.
	runID    string
	plan   *schema.Plan
	client *http.Client

	mu      sync.Mutex
	results []*streamStats
	attempts   []attempt
	seconds map[uint32]*secondStats
	reasons map[string]uint64
	mismatched uint64
}

// streamStats is what became of a stream's requests.
type streamStats struct {
	stream                                           *schema.Stream
	requests, served, limited, refused, unknown, failed uint64
	latencies                                            *hdrhistogram.Histogram
}

type secondStats struct {
	requests, served uint64
}

// NewRunner returns the runner of a plan.
func NewRunner(p *schema.Plan) *Runner {
	r := &Runner{
		runID:     uuid.NewString()[:8],
		plan:    p,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
		seconds: make(map[uint32]*secondStats),
		reasons: make(map[string]uint64),
	}
	for _, s := range p.GetStreams() {
		r.results = append(r.results, &streamStats{stream: s, latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)})
	}
	return r
}

// Run drives the plan to its end, waits for the last answers, checks both ends
// and reports.
func (r *Runner) Run(ctx context.Context) (*schema.Report, error) {
	begin := time.Now()
	var group sync.WaitGroup
	for i, res := range r.results {
		group.Go(func() { r.runStream(ctx, begin, i, res, &group) })
	}
	group.Wait()
	report := r.report()
	if err := r.verify(ctx, report); err != nil {
		return nil, fmt.Errorf("check both ends: %w", err)
	}
	return report, nil
}

// runStream sends a stream's requests as they are due.
func (r *Runner) runStream(ctx context.Context, begin time.Time, index int, res *streamStats, group *sync.WaitGroup) {
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
			id:     fmt.Sprintf("%s-s%d-%d", r.runID, index, n),
			due:    begin.Add(at),
			second: uint32(at / time.Second),
			firstTarget:  rnd.IntN(len(r.plan.GetTargets())),
			bodySeed:   rnd.Uint64(),
		}
		group.Go(func() { r.recordResult(res, q, r.perform(ctx, q)) })
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

// recordResult counts a request's end.
func (r *Runner) recordResult(res *streamStats, q *request, e result) {
	took := time.Since(q.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.secondOf(q)
	s.requests++
	res.requests++
	if e.reason != "" {
		r.reasons[e.reason]++
	}
	switch e.kind {
	case served:
		s.served++
		res.served++
		_ = res.latencies.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
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

// secondOf returns the count of a request's secondOf. Greedy requests count for
// none.
func (r *Runner) secondOf(q *request) *secondStats {
	if q.stream.GetGreedy() {
		return &secondStats{}
	}
	s := r.seconds[q.second]
	if s == nil {
		s = &secondStats{}
		r.seconds[q.second] = s
	}
	return s
}
