package sidecar

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/bandwidth"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestBodyTurn guards against a request with a slot that waits for ever, or beyond its deadline, for
// a body that more urgent ones have overtaken, and against bodies that fill the link together. Its
// lines are
//
//	submit NAME RANK BYTES [DEADLINE], slot NAME DEADLINE, queue NAME, arrive NAME, leave NAME, pass DURATION
//
// It prints when each request with a slot requests its body or is refused. With "queue", the request
// waits for a slot that it does not get.
func TestBodyTurn(t *testing.T) {
	datadriven.RunTest(t, "testdata/body_turn", func(t *testing.T, d *datadriven.TestData) string {
		var rate int64
		d.ScanArgs(t, "rate", &rate)
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) {
			log := logs.NewWriter(io.Discard)
			defer log.Close(time.Second)
			e := newEvents(log, "m1", "muc")
			a := &admission{fleetState: &fleetState{events: e}, link: newLinkPacer(rate, e)}
			start := time.Now()
			a.queue = backend.NewQueue(backend.NewSlotWindow(1), newColdLimiter(nil))
			a.queue.Submit(start, backend.NewRequest(caller.NewPriority(false, 0, 0), "", start.Add(time.Minute), start.Add(time.Minute)), false)
			requests := make(map[string]*request)
			leave := make(map[string]context.CancelFunc)
			var waiting sync.WaitGroup
			var mu sync.Mutex
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				req := requests[f[1]]
				switch f[0] {
				case "submit":
					rank, size := number(t, f[2]), number(t, f[3])
					now := time.Now()
					deadline := 2 * time.Second
					if len(f) > 4 {
						deadline = parseDuration(t, f[4])
					}
					entry, state, _ := a.link.link.Submit(now, bandwidth.NewTransfer(size, caller.NewPriority(false, 0, rank),
						now.Add(time.Second), now.Add(deadline), 0, false))
					a.link.tick(now)
					if state != bandwidth.Granted {
						fmt.Fprintf(&out, "%s: %s not granted\n", now.Sub(start), f[1])
					}
					requests[f[1]] = &request{id: f[1], suspended: suspend.Start(), body: body{length: int64(size), inflow: &inflow{pacer: a.link, entry: entry, length: int64(size)}}}
				case "slot", "queue":
					ctx, cancel := context.WithCancel(context.Background())
					leave[f[1]] = cancel
					await := func() *result { return a.awaitTurn(ctx, req) }
					if f[0] == "slot" {
						req.deadline = time.Now().Add(parseDuration(t, f[2]))
					} else {
						queued := backend.NewRequest(caller.NewPriority(false, 0, 0), "", start.Add(time.Minute), start.Add(time.Minute))
						entry, state, _ := a.queue.Submit(time.Now(), queued, false)
						await = func() *result { return a.awaitSlot(ctx, req, queueDecision{entry: entry, state: state}) }
					}
					waiting.Go(func() {
						text := "requested"
						if r := await(); r != nil {
							text = r.outcome.String() + ": " + string(r.reason)
							if r.retryAfter > 0 {
								text += ", retry after " + r.retryAfter.Round(time.Millisecond).String()
							}
							req.body.inflow.end()
						}
						mu.Lock()
						defer mu.Unlock()
						fmt.Fprintf(&out, "%s: %s %s\n", time.Since(start), f[1], text)
					})
				case "arrive":
					req.body.inflow.received.Store(req.body.length)
					req.body.inflow.end()
				case "leave":
					leave[f[1]]()
				case "pass":
					time.Sleep(parseDuration(t, f[1]))
				default:
					t.Fatalf("unknown line %q", line)
				}
				synctest.Wait()
			}
			waiting.Wait()
			for _, cancel := range leave {
				cancel()
			}
		})
		return out.String()
	})
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
