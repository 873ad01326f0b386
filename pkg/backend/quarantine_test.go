package backend_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/pkg/backend"
)

// quarantineFleet is the quarantines of some daemons at one time, and what they know of one request.
type quarantineFleet struct {
	now     time.Time
	daemons map[string]*backend.Quarantine
	key     backend.RequestKey
}

// pull lets a daemon ask another one for what it has missed, as daemons do regularly.
func (f *quarantineFleet) pull(to, from string) {
	_, digest := f.daemons[to].Shared(f.now)
	if reports, other := f.daemons[from].Shared(f.now); other != digest {
		f.daemons[to].Merge(f.now, reports)
	}
}

// send delivers reports to daemons, twice each.
func (f *quarantineFleet) send(reports []backend.CrashReport, to []string) {
	for _, name := range to {
		f.daemons[name].Merge(f.now, reports)
		f.daemons[name].Merge(f.now, reports)
	}
}

func (f *quarantineFleet) run(t *testing.T, args []string) string {
	switch args[0] {
	case "wait":
		f.now = f.now.Add(scanWait(t, args[1]))
	case "crash": // crash DAEMON TO...: the backend server beside it crashes
		if report, counted := f.daemons[args[1]].RecordCrash(f.now, f.key); counted {
			f.send([]backend.CrashReport{report}, args[2:])
		}
	case "answer": // answer DAEMON TO...: the backend server beside it answers
		f.send(f.daemons[args[1]].RecordAnswer(f.key), args[2:])
	case "restart": // restart DAEMON...
		for _, name := range args[1:] {
			f.daemons[name] = backend.NewQuarantine()
		}
	case "pull": // pull TO FROM
		f.pull(args[1], args[2])
	case "sweep":
		for _, q := range f.daemons {
			q.Sweep(f.now)
		}
	case "admit": // admit DAEMON
		return fmt.Sprintf(" %t", f.daemons[args[1]].Admit(f.now, f.key))
	case "state":
		var quarantined []string
		digests := make(map[uint64]bool)
		for name, q := range f.daemons {
			if q.Quarantined(f.now, f.key) {
				quarantined = append(quarantined, name)
			}
			_, digest := q.Shared(f.now)
			digests[digest] = true
		}
		slices.Sort(quarantined)
		reports, _ := f.daemons["a"].Shared(f.now)
		return fmt.Sprintf(" quarantined at %v, %d views, %d reports at a", quarantined, len(digests), len(reports))
	}
	return ""
}

// TestQuarantine guards against daemons that have restarted or missed a report and run a request that
// crashes backend servers, against such a request that crashes more of them for as long as it comes,
// and against harmless requests that stay quarantined at some daemons after an answer at another one.
func TestQuarantine(t *testing.T) {
	datadriven.RunTest(t, "testdata/quarantine", func(t *testing.T, d *datadriven.TestData) string {
		f := &quarantineFleet{now: time.Unix(1000, 0), daemons: make(map[string]*backend.Quarantine), key: backend.NewRequestKey("kunde", 7)}
		for _, name := range []string{"a", "b", "c"} {
			f.daemons[name] = backend.NewQuarantine()
		}
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			fmt.Fprintf(&out, "%s:%s\n", line, f.run(t, strings.Fields(line)))
		}
		return out.String()
	})
}

// restartsLimitCrashes sends a request that crashes backend servers to a fleet whose daemons restart
// and miss reports, for some minutes. Later than 3 s after the third crash, at most three more may
// follow. In the broken variant, daemons do not exchange what they know.
func restartsLimitCrashes(t *rapid.T, broken bool) {
	const servers, contact, maxLate = 6, 3 * time.Second, 3
	f := &quarantineFleet{now: time.Unix(1000, 0), daemons: make(map[string]*backend.Quarantine), key: backend.NewRequestKey("a", 666)}
	var names []string
	for i := range servers {
		names = append(names, fmt.Sprint("d", i))
		f.daemons[names[i]] = backend.NewQuarantine().WithStagger(rapid.Float64Range(0, 0.99).Draw(t, "stagger"))
	}
	draw := func(label string) string { return rapid.SampledFrom(names).Draw(t, label) }
	startedAt := make(map[string]time.Time)
	var crashes []time.Time
	late := 0
	for range 300 {
		f.now = f.now.Add(550 * time.Millisecond)
		if rapid.IntRange(0, 7).Draw(t, "restart") == 0 {
			name := draw("restarted")
			f.daemons[name] = backend.NewQuarantine()
			startedAt[name] = f.now
		}
		if !broken {
			for _, name := range names {
				f.pull(name, draw("asked"))
			}
		}
		name := draw("server")
		if !f.daemons[name].Admit(f.now, f.key) {
			continue
		}
		crashes = append(crashes, f.now)
		if len(crashes) > 3 && f.now.Sub(crashes[2]) > contact && f.now.Sub(startedAt[name]) > contact {
			late++
		}
		if report, counted := f.daemons[name].RecordCrash(f.now, f.key); counted {
			for _, to := range names {
				if to != name && rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					f.send([]backend.CrashReport{report}, []string{to})
				}
			}
		}
	}
	if late > maxLate {
		t.Fatalf("%d backend servers crashed late, want at most %d", late, maxLate)
	}
}

// mergesAgree lets daemons record crashes and answers and learn of them in random order, and then all
// of each other. They must agree.
func mergesAgree(t *rapid.T, broken bool) {
	f := &quarantineFleet{now: time.Unix(1000, 0), daemons: make(map[string]*backend.Quarantine), key: backend.NewRequestKey("a", 1)}
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		f.daemons[name] = backend.NewQuarantine()
	}
	draw := func(label string) string { return rapid.SampledFrom(names).Draw(t, label) }
	var sent []backend.CrashReport
	for range 30 {
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		name := draw("daemon")
		switch rapid.SampledFrom([]string{"crash", "answer", "pull", "repeat"}).Draw(t, "step") {
		case "crash":
			if report, counted := f.daemons[name].RecordCrash(f.now, f.key); counted {
				sent = append(sent, report)
			}
		case "answer":
			sent = append(sent, f.daemons[name].RecordAnswer(f.key)...)
		case "pull":
			f.pull(name, draw("asked"))
		case "repeat":
			if len(sent) > 0 {
				f.send([]backend.CrashReport{rapid.SampledFrom(sent).Draw(t, "report")}, []string{name})
			}
		}
	}
	for range 2 {
		for _, to := range names {
			for _, from := range names {
				if !broken {
					f.pull(to, from)
				}
			}
		}
	}
	want, digest := f.daemons["a"].Shared(f.now)
	for _, name := range names {
		if got, other := f.daemons[name].Shared(f.now); other != digest || len(got) != len(want) {
			t.Fatalf("%s has %d reports with digest %x, a has %d with digest %x", name, len(got), other, len(want), digest)
		}
		if f.daemons[name].Quarantined(f.now, f.key) != f.daemons["a"].Quarantined(f.now, f.key) {
			t.Fatalf("%s does not decide as a does", name)
		}
	}
}

func ExampleQuarantine() {
	now := time.Unix(1000, 0)
	key := backend.NewRequestKey("clinic", 0x7c1f)
	first, second := backend.NewQuarantine(), backend.NewQuarantine()
	for range 2 {
		first.RecordCrash(now, key)
		now = now.Add(time.Second)
	}
	fmt.Println(first.Admit(now, key), second.Admit(now, key))
	reports, _ := first.Shared(now)
	second.Merge(now, reports)
	fmt.Println(first.Admit(now, key), second.Admit(now, key))
	// Output:
	// false true
	// false false
}
