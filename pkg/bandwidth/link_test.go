package bandwidth_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/bandwidth"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

var stateNames = map[bandwidth.State]string{
	bandwidth.Queued: "queued", bandwidth.Granted: "granted", bandwidth.Refused: "refused", bandwidth.Ended: "ended",
}

// TestLink guards against bodies that are granted although they come too late or no link would be
// left for others. It follows single bodies, in particular after failures.
func TestLink(t *testing.T) {
	datadriven.Walk(t, "testdata/link", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, runSteps)
	})
}

// runSteps runs a script against one link. Its lines are
//
//	submit NAME BYTES RANK OBJECTIVE DEADLINE AFTER [elsewhere|call]
//	begin NAME, progress NAME, end NAME BYTES, record BYTES, after DURATION
//
// After each line, it prints the entries whose state has changed or whose turn has come, and with
// "show" the backlog, the pace and the counts.
func runSteps(t *testing.T, d *datadriven.TestData) string {
	var mbit float64
	d.ScanArgs(t, "mbit", &mbit)
	link := bandwidth.NewLink(mbit * 1e6 / 8)
	start := time.Unix(1_700_000_000, 0)
	now := start
	entries := make(map[string]*bandwidth.Entry)
	states := make(map[string]string)
	turns := make(map[string]<-chan struct{})
	var names []string
	var out strings.Builder
	reportTurns := func() {
		for _, name := range names {
			select {
			case <-turns[name]:
				delete(turns, name)
				if state, _ := link.State(entries[name]); state != bandwidth.Refused {
					fmt.Fprintf(&out, "%s: %s requested\n", now.Sub(start), name)
				}
			default:
			}
		}
	}
	report := func() {
		for _, name := range names {
			state, wait := link.State(entries[name])
			text := stateNames[state]
			if state == bandwidth.Refused {
				text += " for " + wait.Round(time.Millisecond).String()
			}
			if states[name] != text {
				states[name] = text
				fmt.Fprintf(&out, "%s: %s %s\n", now.Sub(start), name, text)
			}
		}
		reportTurns()
	}
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "submit":
			option := strings.Join(f[7:], "")
			transfer := bandwidth.NewTransfer(number(t, f[2]), caller.NewPriority(option == "call", 0, number(t, f[3])),
				now.Add(duration(t, f[4])), now.Add(duration(t, f[5])), duration(t, f[6]), option == "elsewhere")
			names = append(names, f[1])
			entries[f[1]], _, _ = link.Submit(now, transfer)
		case "begin":
			if turn := link.Begin(now, entries[f[1]]); turn != nil {
				turns[f[1]] = turn
				text := "waits for its turn"
				if state, _ := link.State(entries[f[1]]); state == bandwidth.Refused {
					text = "is not requested"
				}
				fmt.Fprintf(&out, "%s: %s %s\n", now.Sub(start), f[1], text)
			}
		case "progress":
			link.Progress(now, entries[f[1]])
		case "end":
			link.End(now, entries[f[1]], number(t, f[2]))
		case "record":
			link.Record(now, number(t, f[1]))
		case "after":
			for end := now.Add(duration(t, f[1])); now.Before(end); report() {
				now = now.Add(time.Millisecond)
				link.Tick(now)
			}
		case "show":
			c := link.Counts()
			fmt.Fprintf(&out, "%s: backlog %s, pace %s, granted %d, delayed %d, refused %d, returned %d, overtaken %d\n", now.Sub(start),
				link.Backlog(now).Round(time.Millisecond), link.Pace().Round(time.Microsecond), c.Granted(), c.Delayed(), c.Refused(), c.Returned(), c.Overtaken())
		default:
			t.Fatalf("unknown line %q", line)
		}
		report()
	}
	return out.String()
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func ExampleLink() {
	link := bandwidth.NewLink(1_250_000)
	now := time.Unix(1_700_000_000, 0)
	e, state, _ := link.Submit(now, bandwidth.NewTransfer(60_000, caller.NewPriority(false, 0, 2),
		now.Add(2*time.Second), now.Add(2500*time.Millisecond), 230*time.Millisecond, true))
	fmt.Println(state == bandwidth.Granted, link.Backlog(now).Round(time.Millisecond))
	link.Begin(now, e)
	link.End(now.Add(48*time.Millisecond), e, 60_000)
	// Output: true 56ms
}
