package workers_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/workers"
)

// TestDo runs decisions on a pool with a synthetic clock. Each case states the number
// of workers, how long they are busy, when the caller times out, and when the pool is
// closed.
func TestDo(t *testing.T) {
	datadriven.RunTest(t, "testdata/do", func(t *testing.T, d *datadriven.TestData) string {
		var size, depth int
		var busy, timeout, closeAfter string
		d.ScanArgs(t, "workers", &size)
		d.ScanArgs(t, "depth", &depth)
		d.ScanArgs(t, "busy", &busy)
		d.ScanArgs(t, "patience", &timeout)
		d.MaybeScanArgs(t, "closes", &closeAfter)
		var out string
		synctest.Test(t, func(t *testing.T) {
			out = runDecision(t, size, depth, parseDuration(t, busy), parseDuration(t, timeout), parseDuration(t, closeAfter))
		})
		return out
	})
}

func parseDuration(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func runDecision(t *testing.T, size, depth int, busy, timeout, closeAfter time.Duration) string {
	p := workers.New(size, depth)
	for range size {
		go func() {
			_, _ = workers.Do(t.Context(), p, func() int { time.Sleep(busy); return 0 })
		}()
	}
	synctest.Wait()
	if closeAfter > 0 {
		time.AfterFunc(closeAfter, p.Close)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	start := time.Now()
	ran := false
	v, err := workers.Do(ctx, p, func() int { ran = true; return 7 })
	elapsed := time.Since(start)
	time.Sleep(time.Hour)
	p.Close()
	return fmt.Sprintf("value %d after %s, closed %t, deadline %t, ran %t\n", v, elapsed,
		errors.Is(err, workers.ErrClosed), errors.Is(err, context.DeadlineExceeded), ran)
}

// TestPanic checks that a decision that panics does so in the goroutine that asked for it,
// and that the worker continues.
func TestPanic(t *testing.T) {
	p := workers.New(1, 0)
	defer p.Close()
	func() {
		defer func() {
			v, ok := recover().(workers.Panic)
			if !ok || v.Value() != "broken" || len(v.Stack()) == 0 {
				t.Errorf("recovered %v", v)
			}
		}()
		_, _ = workers.Do(t.Context(), p, func() int { panic("broken") })
	}()
	if v, err := workers.Do(t.Context(), p, func() int { return 7 }); v != 7 || err != nil {
		t.Errorf("next decision: %d, %v", v, err)
	}
}

func ExampleDo() {
	pool := workers.New(2, 16)
	defer pool.Close()
	decision, err := workers.Do(context.Background(), pool, func() string { return "admitted" })
	fmt.Println(decision, err)
	// Output: admitted <nil>
}
