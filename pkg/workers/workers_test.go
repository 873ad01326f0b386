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

// TestDo runs decisions on a pool under a paused clock. Each case says how many
// workers there are, how long they are kept busy, when the caller gives up and
// when the pool closes.
func TestDo(t *testing.T) {
	datadriven.RunTest(t, "testdata/do", func(t *testing.T, d *datadriven.TestData) string {
		var size, depth int
		var busy, patience, closes string
		d.ScanArgs(t, "workers", &size)
		d.ScanArgs(t, "depth", &depth)
		d.ScanArgs(t, "busy", &busy)
		d.ScanArgs(t, "patience", &patience)
		d.MaybeScanArgs(t, "closes", &closes)
		var out string
		synctest.Test(t, func(t *testing.T) {
			out = do(t, size, depth, parse(t, busy), parse(t, patience), parse(t, closes))
		})
		return out
	})
}

func parse(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func do(t *testing.T, size, depth int, busy, patience, closes time.Duration) string {
	p := workers.New(size, depth)
	for range size {
		go func() {
			_, _ = workers.Do(t.Context(), p, func() int { time.Sleep(busy); return 0 })
		}()
	}
	synctest.Wait()
	if closes > 0 {
		time.AfterFunc(closes, p.Close)
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	begin := time.Now()
	ran := false
	v, err := workers.Do(ctx, p, func() int { ran = true; return 7 })
	took := time.Since(begin)
	time.Sleep(time.Hour)
	p.Close()
	return fmt.Sprintf("value %d after %s, closed %t, deadline %t, ran %t\n", v, took,
		errors.Is(err, workers.ErrClosed), errors.Is(err, context.DeadlineExceeded), ran)
}

func ExampleDo() {
	pool := workers.New(2, 16)
	defer pool.Close()
	verdict, err := workers.Do(context.Background(), pool, func() string { return "admitted" })
	fmt.Println(verdict, err)
	// Output: admitted <nil>
}
