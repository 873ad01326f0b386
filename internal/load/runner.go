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
	// maxIdleConns is the maximum number of idle connections per daemon.
	maxIdleConns = 256
	// Bounds of the latency histograms in microseconds, and their precision in significant
	// decimal digits.
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

// Runner generates the load of one plan. Use NewRunner to create one.
type Runner struct {
	// runID distinguishes the requests of this run from those of other runs against the
	// same backend servers.
	runID  string
	plan   *schema.Plan
	client *http.Client

	// mu guards the fields below and the statistics that they refer to.
	mu       sync.Mutex
	streams  []*streamStats
	attempts []attempt
	seconds  map[uint32]*secondStats
	reasons  map[string]uint64
	// mismatched is the number of responses that were truncated or belonged to another
	// request.
	mismatched uint64
}

// streamStats counts the results of the requests of one stream.
type streamStats struct {
	stream                                              *schema.Stream
	requests, served, limited, refused, unknown, failed uint64
	latencies                                           *hdrhistogram.Histogram
}

type secondStats struct {
	requests, served uint64
}

// NewRunner returns a runner for a plan.
func NewRunner(p *schema.Plan) *Runner {
	r := &Runner{
		runID:   uuid.NewString()[:8],
		plan:    p,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
		seconds: make(map[uint32]*secondStats),
		reasons: make(map[string]uint64),
	}
	for _, s := range p.GetStreams() {
		r.streams = append(r.streams, &streamStats{stream: s, latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)})
	}
	return r
}

// Run generates the load of the plan, waits for the last responses, verifies them against
// the records of the backend servers and returns the report.
func (r *Runner) Run(ctx context.Context) (*schema.Report, error) {
	start := time.Now()
	var wg sync.WaitGroup
	for i, stats := range r.streams {
		wg.Go(func() { r.runStream(ctx, start, i, stats, &wg) })
	}
	wg.Wait()
	report := r.report()
	if err := r.verify(ctx, report); err != nil {
		return nil, fmt.Errorf("verify responses: %w", err)
	}
	return report, nil
}

// runStream sends the requests of a stream when they are due.
func (r *Runner) runStream(ctx context.Context, start time.Time, index int, stats *streamStats, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.plan.GetSeed(), uint64(index))) //nolint:gosec // not for secrets
	at := stats.stream.GetStart().AsDuration()
	stop := r.plan.GetDuration().AsDuration()
	if s := stats.stream.GetStop().AsDuration(); s > 0 {
		stop = min(s, stop)
	}
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / stats.stream.GetRate() * float64(time.Second))
		if at >= stop || !sleepUntil(ctx, start.Add(at)) {
			return
		}
		q := &request{
			stream:      stats.stream,
			id:          fmt.Sprintf("%s-s%d-%d", r.runID, index, n),
			due:         start.Add(at),
			second:      uint32(at / time.Second),
			firstTarget: rng.IntN(len(r.plan.GetTargets())),
			bodySeed:    rng.Uint64(),
		}
		wg.Go(func() { r.recordResult(stats, q, r.perform(ctx, q)) })
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

// recordResult counts the result of a request. The latency is measured from the instant
// at which the request was due.
func (r *Runner) recordResult(stats *streamStats, q *request, res result) {
	latency := time.Since(q.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.secondOf(q)
	s.requests++
	stats.requests++
	if res.reason != "" {
		r.reasons[res.reason]++
	}
	switch res.kind {
	case served:
		s.served++
		stats.served++
		_ = stats.latencies.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	case limited:
		stats.limited++
	case refused:
		stats.refused++
	case unknown:
		stats.unknown++
	case failed:
		stats.failed++
	}
}

// secondOf returns the counts of the second in which a request was due. Requests of
// greedy streams are not counted by second.
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
