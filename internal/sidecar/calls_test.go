package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// dottedIDs is a protocol by which the id of a call is PARENT.SUFFIX.
type dottedIDs struct{ Protocol }

// ParentID implements Protocol.
func (dottedIDs) ParentID(id string) (string, bool) {
	i := strings.LastIndexByte(id, '.')
	return id[:max(i, 0)], i > 0
}

// Match implements Protocol.
func (dottedIDs) Match(string, http.Header) http1.Match { return http1.Matched }

// TestCalls guards against calls that are taken for callers' requests, that lose the ranks of
// their parents on the way to another daemon, or that outlive them. A script begins and ends runs
// (begin ID RANK DEADLINE [resent]) and lets requests arrive (arrive ID RANK DEADLINE OBJECTIVE),
// each of which is printed as the daemon beside the called server receives it. answer ID REASON
// [reached] ends a call, and prints the report on calls of its parent's kind as another daemon
// receives it: shed calls must not look like a lack of capacity.
func TestCalls(t *testing.T) {
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, d *datadriven.TestData) string {
		calls := newRunningRequests(dottedIDs{})
		now := time.Now()
		requests := make(map[string]*request)
		in := func(text string) time.Time {
			after, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			return now.Add(after)
		}
		rank := func(text string) int {
			n, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "after":
				now = in(f[1])
			case "begin":
				calls.begin(now, &request{
					id: f[1], route: "r" + f[2], priority: caller.NewPriority(false, 0, rank(f[2])), deadline: in(f[3]), resent: len(f) > 4,
				})
			case "end":
				calls.end(&request{id: f[1]})
			case "arrive":
				req := &request{id: f[1], priority: caller.NewPriority(false, 0, rank(f[2])), deadline: in(f[3]), objective: in(f[4])}
				if parent, ok := calls.parent(req.id); ok {
					req.makeCall(now, parent, rank(f[2]))
				}
				requests[req.id] = req
				got := decodeHop(encodeHop(req, "i1", 1, now, false), now)
				nested, _, route := got.priority.Components()
				callRank, _ := got.priority.CallRank()
				fmt.Fprintf(&out, "%s: call %t, ranks %d %d, deadline %s, objective %s, spent %s, resent %t\n", line, nested, route,
					callRank, got.deadline.Sub(now).Round(time.Millisecond), got.objective.Sub(now).Round(time.Millisecond),
					got.spent.Round(time.Millisecond), got.resent)
			case "answer":
				req, resp := requests[f[1]], &response{result: &result{outcome: caller.OutcomeRan}, reached: len(f) > 3}
				switch f[2] {
				case "ran":
				case "unanswered":
					resp = unknownResponse(caller.ReasonDeadlineExceeded)
				default:
					resp.result = notRun(caller.Reason(f[2]))
				}
				calls.recordCall(now, req, resp)
				got := decodeReport(encodeReport(&result{calls: calls.tally.Report(now, req.parentKind)})).calls
				fmt.Fprintf(&out, "%s: %d calls, %d without capacity\n", line, got.Calls(), got.Short())
			default:
				t.Fatalf("unknown line %q", line)
			}
		}
		return out.String()
	})
}
