package backend_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/backend"
)

// reportScript is a sender of reports and a receiver, at one time. All reports of the sender
// are of one request.
type reportScript struct {
	now        time.Time
	reports    *backend.CrashReports
	quarantine *backend.Quarantine
}

func formatGivenUp(list []backend.Undelivered) string {
	out := ""
	for _, u := range list {
		out += fmt.Sprintf(" %s:%d", u.Daemon(), u.Report().ID())
	}
	return out
}

// send sends the reports that are due to the daemons, each of which acknowledges them ("ack"),
// does not receive them ("unread"), or receives them without an acknowledgement ("lost").
func (s *reportScript) send(results map[string]string) string {
	due, wait, givenUp := s.reports.Due(s.now)
	var out strings.Builder
	for _, daemon := range due {
		fmt.Fprintf(&out, " %s:", daemon)
		for {
			r, unconfirmed, ok := s.reports.Next(daemon)
			if !ok {
				break
			}
			fmt.Fprintf(&out, "%d", r.ID())
			if unconfirmed {
				out.WriteString("(again)")
			}
			out.WriteString(" " + results[daemon] + ",")
			s.reports.Record(s.now, daemon, r, map[string]backend.Delivery{
				"ack": backend.Acknowledged, "unread": backend.NotReceived, "lost": backend.Unconfirmed,
			}[results[daemon]])
		}
	}
	if len(due) > 0 {
		_, wait, _ = s.reports.Due(s.now)
	}
	return fmt.Sprintf("%s next in %s, given up [%s]", out.String(), wait, formatGivenUp(givenUp))
}

// run runs one line: crash ID DAEMON..., burst COUNT DAEMON..., wait DURATION, send DAEMON=RESULT..., leave DAEMON,
// or receive FROM ID AGE [COUNT], which receives as many reports with successive ids.
func (s *reportScript) run(t *testing.T, f []string) string {
	key := backend.NewRequestKey("kunde", 7)
	switch f[0] {
	case "crash":
		return " given up [" + formatGivenUp(s.reports.Add(s.now, backend.NewCrashReport(scanID(t, f[1]), key, s.now), f[2:])) + "]"
	case "burst":
		givenUp := ""
		for id := range scanID(t, f[1]) {
			givenUp += formatGivenUp(s.reports.Add(s.now, backend.NewCrashReport(id+1, key, s.now), f[2:]))
		}
		return " given up [" + givenUp + "]"
	case "wait":
		s.now = s.now.Add(scanWait(t, f[1]))
	case "send":
		results := make(map[string]string)
		for _, r := range f[1:] {
			daemon, result, _ := strings.Cut(r, "=")
			results[daemon] = result
		}
		return s.send(results)
	case "leave":
		return " given up [" + formatGivenUp(s.reports.Leave(f[1])) + "]"
	case "receive":
		id, last := scanID(t, f[2]), uint64(1)
		if len(f) > 4 {
			last = scanID(t, f[4])
			key = backend.NewRequestKey("other", 8)
		}
		counted := 0
		for n := range last {
			if s.quarantine.RecordReport(s.now, f[1], id+n, key, scanWait(t, f[3])) {
				counted++
			}
		}
		return fmt.Sprintf(" counted %d, quarantined %t", counted, s.quarantine.Quarantined(s.now, key))
	}
	return ""
}

func scanID(t *testing.T, text string) uint64 {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func scanWait(t *testing.T, text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return wait
}

// TestCrashReports guards against daemons that do not learn of a crash because a message is lost,
// and against reports that are counted twice because an acknowledgement is.
func TestCrashReports(t *testing.T) {
	datadriven.RunTest(t, "testdata/crash_reports", func(t *testing.T, d *datadriven.TestData) string {
		s := &reportScript{now: time.Unix(1000, 0), reports: backend.NewCrashReports(), quarantine: backend.NewQuarantine()}
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			fmt.Fprintf(&out, "%s:%s\n", line, s.run(t, strings.Fields(line)))
		}
		return out.String()
	})
}
