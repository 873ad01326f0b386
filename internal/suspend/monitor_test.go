package suspend_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/suspend"
)

// TestMonitor guards against a planned stop that lasts beyond its grace time since its signal
// arrived while the process was stopped (LOST). A line of a script is a time during which the
// process runs, or does not run, and the delay of a signal after that. The pauses that the
// monitor reports are shown too.
func TestMonitor(t *testing.T) {
	datadriven.RunTest(t, "testdata/monitor", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) {
			m := suspend.NewMonitor(suspend.Start().Elapsed)
			for line := range strings.Lines(d.Input) {
				verb, text, _ := strings.Cut(strings.TrimSpace(line), " ")
				duration, err := time.ParseDuration(text)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				if verb == "run" {
					m.Run(ctx, func(paused time.Duration) { fmt.Fprintf(&out, "reported: %s\n", paused) })
				}
				<-ctx.Done()
				cancel()
				fmt.Fprintf(&out, "%s %s: %s\n", verb, duration, m.Delay())
			}
			fmt.Fprintf(&out, "paused: %s\n", m.Paused())
		})
		return out.String()
	})
}
