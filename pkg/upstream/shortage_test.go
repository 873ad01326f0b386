package upstream_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// TestShortage guards against runs that are lost because their calls find no capacity, and against
// requests that are refused although capacity is back or the reports have ceased. A script runs a
// service whose requests run for 200 ms and then make two calls each to another service, which
// serves a number of calls per second and refuses the others. Each line of a script is a phase:
//
//	for DURATION RATE CAPACITY [silent] [shed]
//
// requests per second, and calls that the other service serves per second. With silent, no report
// arrives; with shed, calls fail for another reason. The requests have two ranks in turn, and the
// calls of the more urgent one go first. The output is the number of requests of both ranks that
// were served, lost, and refused, and the first Retry-After. With the argument off, all are
// admitted.
func TestShortage(t *testing.T) {
	datadriven.RunTest(t, "testdata/shortage", func(t *testing.T, d *datadriven.TestData) string {
		s := shortageRun{
			now: time.Unix(1_700_000_000, 0), off: d.HasArg("off"), calls: !d.HasArg("nocalls"),
			shortage: upstream.NewShortage(), tally: upstream.NewCallTally(),
		}
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			length, err := time.ParseDuration(f[1])
			if err != nil {
				t.Fatal(err)
			}
			var rate, capacity int
			if _, err := fmt.Sscan(f[2]+" "+f[3], &rate, &capacity); err != nil {
				t.Fatal(err)
			}
			s.counts, s.retryAfter = [2]shortageCounts{}, 0
			s.silent, s.shed = strings.Contains(line, "silent"), strings.Contains(line, "shed")
			s.run(length, rate, capacity)
			fmt.Fprintf(&out, "%s: urgent %s; other %s", line, s.counts[0], s.counts[1])
			if s.retryAfter > 0 {
				fmt.Fprintf(&out, "; again after %s", s.retryAfter.Round(10*time.Millisecond))
			}
			fmt.Fprintln(&out)
		}
		return out.String()
	})
}

type shortageCounts struct{ served, lost, refused int }

func (c shortageCounts) String() string {
	return fmt.Sprintf("%d served, %d lost, %d refused", c.served, c.lost, c.refused)
}

// shortageRun is the state of a script.
type shortageRun struct {
	now          time.Time
	off, calls   bool
	silent, shed bool
	shortage     *upstream.Shortage
	tally        *upstream.CallTally
	// due holds the ranks of the requests that make their calls at a step.
	due        []dueRequest
	tokens     float64
	counts     [2]shortageCounts
	retryAfter time.Duration
	arrived    float64
	number     int
}

type dueRequest struct {
	at   time.Time
	rank int
}

func kindOf(rank int) upstream.Kind {
	return upstream.NewKind("read", caller.NewPriority(false, rank, 0))
}

// run simulates a phase in steps of 10 ms.
func (s *shortageRun) run(length time.Duration, rate, capacity int) {
	const step = 10 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		s.tokens = min(s.tokens+float64(capacity)*step.Seconds(), float64(capacity)/20)
		s.finishDue()
		for s.arrived += float64(rate) * step.Seconds(); s.arrived >= 1; s.arrived-- {
			s.number++
			s.arrive(s.number % 2)
		}
	}
}

func (s *shortageRun) arrive(rank int) {
	if wait, ok := s.shortage.Admit(s.now, kindOf(rank)); !ok && !s.off {
		s.counts[rank].refused++
		if s.retryAfter == 0 {
			s.retryAfter = wait
		}
		return
	}
	s.due = append(s.due, dueRequest{at: s.now.Add(200 * time.Millisecond), rank: rank})
}

// finishDue makes the calls of the requests that have run, those of the urgent ones first.
func (s *shortageRun) finishDue() {
	n := 0
	for n < len(s.due) && !s.due[n].at.After(s.now) {
		n++
	}
	finished := s.due[:n]
	s.due = s.due[n:]
	for rank := range 2 {
		for _, r := range finished {
			if r.rank == rank {
				s.finish(rank)
			}
		}
	}
}

func (s *shortageRun) finish(rank int) {
	served := true
	for range 2 {
		if !s.calls {
			continue
		}
		ok := s.tokens >= 1
		if ok {
			s.tokens--
		}
		served = served && ok
		s.tally.Record(s.now, kindOf(rank), !ok && !s.shed)
	}
	if served {
		s.counts[rank].served++
	} else {
		s.counts[rank].lost++
	}
	if !s.silent {
		s.shortage.Record(s.now, kindOf(rank), s.tally.Report(s.now, kindOf(rank)))
	}
}
