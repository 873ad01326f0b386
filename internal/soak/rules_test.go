package soak

import (
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
//	request safe|unsafe INSTANCE BEGUN SENT
//	received
//	run INSTANCE FROM UNTIL [what differs]
//	end AT KIND [STATUS]
//	foreign
func TestRules(t *testing.T) {
	datadriven.RunTest(t, "testdata/rules", func(t *testing.T, d *datadriven.TestData) string {
		r, h := &request{id: "r"}, make(history)
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

func applyEvent(t *testing.T, r *request, h history, words []string) {
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
		h[i] = append(h[i], disruption{planned: words[2] == "planned", from: at(3), to: at(4), kind: strings.Join(words[5:], " ")})
	case "request":
		r.idempotent, r.instance, r.begun, r.sent = words[1] == "safe", number(2), at(3), at(4)
	case "received":
		r.received++
	case "run":
		r.received++
		r.runs = append(r.runs, execution{instance: number(1), at: at(2), until: at(3), wrong: strings.Join(words[4:], " ")})
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
