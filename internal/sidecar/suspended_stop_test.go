package sidecar

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/suspend"
)

// TestSuspendedStop guards against a planned stop that lasts beyond its grace time since the
// machine is suspended meanwhile (LOST). The steps of a script let time pass, or suspend the
// machine, after the signal to stop a daemon with a request that does not end. The step accepts
// says whether a request with a timeout is accepted.
func TestSuspendedStop(t *testing.T) {
	datadriven.RunTest(t, "testdata/suspended_stop", func(t *testing.T, d *datadriven.TestData) string {
		var graceText string
		d.ScanArgs(t, "grace", &graceText)
		grace := parseDuration(t, graceText)
		var result strings.Builder
		synctest.Test(t, func(t *testing.T) {
			var suspended atomic.Int64
			daemon := newBusyDaemon(t, grace, io.Discard)
			monitor := suspend.NewMonitor(func() time.Duration { return time.Duration(suspended.Load()) })
			daemon.monitor, daemon.shutdown.monitor = monitor, monitor
			daemon.openRequests.Store(1)
			begin, end := time.Now(), make(chan error, 1)
			go func() { end <- daemon.Stop() }()
			synctest.Wait()
			for line := range strings.Lines(d.Input) {
				verb, text, _ := strings.Cut(strings.TrimSpace(line), " ")
				duration := parseDuration(t, text)
				switch verb {
				case "pass":
					time.Sleep(duration)
				case "suspend":
					suspended.Add(int64(duration))
				case "accepts":
					now := time.Now()
					ok := daemon.shutdown.accepts(now, &request{deadline: now.Add(duration)}, func(string) time.Duration { return 0 })
					fmt.Fprintf(&result, "%s: %t\n", strings.TrimSpace(line), ok)
				}
			}
			if err := <-end; err != nil {
				t.Fatal(err)
			}
			remaining := grace - time.Since(begin) - time.Duration(suspended.Load())
			fmt.Fprintf(&result, "%s before the end\n", remaining.Round(10*time.Millisecond))
		})
		return result.String()
	})
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}
