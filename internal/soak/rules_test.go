package soak

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestRules checks requests of scripts. Each line is an event of the request or a disruption
// of an instance; times are in seconds:
//
//	disrupt INSTANCE planned|unplanned FROM TO KIND
//	version extra|plain SENT ACKNOWLEDGED
//	request safe|unsafe|extra INSTANCE BEGUN SENT
//	received
//	run INSTANCE FROM UNTIL [what differs]
//	announced AT, of the backend server of the last run
//	end AT KIND [STATUS]
//	foreign
//
// The command quota checks runs for the customer with a limit: COUNT FROM INTERVAL.
func TestRules(t *testing.T) {
	datadriven.RunTest(t, "testdata/rules", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "quota" {
			return judgeQuota(t, d.Input)
		}
		r, h := &request{id: "r"}, newHistory()
		for line := range strings.SplitSeq(d.Input, "\n") {
			applyEvent(t, r, h, strings.Fields(line))
		}
		var b strings.Builder
		for _, found := range judge(r, h) {
			fmt.Fprintf(&b, "%s: %s\n", found.rule, found.text)
		}
		if b.Len() == 0 {
			return "none\n"
		}
		return b.String()
	})
}

func applyEvent(t *testing.T, r *request, h *history, words []string) {
	at := func(n int) time.Duration {
		v, err := strconv.ParseFloat(words[n], 64)
		if err != nil {
			t.Fatalf("%v: %v", words, err)
		}
		return time.Duration(v * float64(time.Second))
	}
	number := func(n int) int {
		v, err := strconv.Atoi(words[n])
		if err != nil {
			t.Fatalf("%v: %v", words, err)
		}
		return v
	}
	switch words[0] {
	case "disrupt":
		i := number(1)
		h.disruptions[i] = append(h.disruptions[i], disruption{planned: words[2] == "planned", from: at(3), to: at(4), kind: strings.Join(words[5:], " ")})
	case "request":
		r.idempotent, r.extra = words[1] != "unsafe", words[1] == "extra"
		r.instance, r.begun, r.sent = number(2), at(3), at(4)
	case "received":
		r.received++
	case "run":
		r.received++
		r.runs = append(r.runs, execution{instance: number(1), arrived: at(2), at: at(2), until: at(3), wrong: strings.Join(words[4:], " ")})
	case "announced":
		r.runs[len(r.runs)-1].announced = at(1)
	case "version":
		h.releases = append(h.releases, release{extra: words[1] == "extra", sent: at(2), acknowledged: at(3)})
	case "end":
		r.ended = at(1)
		for k := pending; k <= unsent; k++ {
			if k.String() == words[2] {
				r.outcome.kind = k
			}
		}
		if len(words) > 3 {
			r.outcome.status = number(3)
		}
	case "foreign":
		r.outcome.foreign, r.outcome.detail = true, "response to another request"
	default:
		t.Fatalf("unknown event %q", words[0])
	}
}

func judgeQuota(t *testing.T, input string) string {
	var runs []time.Duration
	for line := range strings.SplitSeq(input, "\n") {
		var count int
		var from, interval float64
		if _, err := fmt.Sscan(line, &count, &from, &interval); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		for n := range count {
			runs = append(runs, time.Duration((from+float64(n)*interval)*float64(time.Second)))
		}
	}
	return cmp.Or(checkQuota(runs), "none") + "\n"
}
