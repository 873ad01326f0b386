package main

import (
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/datadriven"
)

var signalsByName = map[string]syscall.Signal{"hup": syscall.SIGHUP, "term": syscall.SIGTERM, "int": syscall.SIGINT, "quit": syscall.SIGQUIT, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT}

// TestSignals guards against a planned stop that never begins because its signal arrives
// while reloads wait (LOST). The words of a script are the signals that arrive before any is
// handled.
func TestSignals(t *testing.T) {
	datadriven.RunTest(t, "testdata/signals", func(t *testing.T, d *datadriven.TestData) string {
		s := notifySignals()
		for _, name := range strings.Fields(d.Input) {
			arrived := make(chan os.Signal, 1)
			signal.Notify(arrived, signalsByName[name])
			if err := syscall.Kill(os.Getpid(), signalsByName[name]); err != nil {
				t.Fatal(err)
			}
			// Signals of different kinds have no order. Stop waits for the delivery to all channels.
			<-arrived
			signal.Stop(arrived)
		}
		var out strings.Builder
		for _, c := range []struct {
			name   string
			signal chan os.Signal
		}{{"stop", s.stop}, {"reload", s.reload}} {
			select {
			case <-c.signal:
				out.WriteString(c.name + "\n")
			default:
			}
		}
		return out.String()
	})
}
