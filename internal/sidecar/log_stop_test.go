package sidecar

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// busyServer is a server with a request that does not end.
type busyServer struct{}

// Shutdown implements http1.Server.
func (busyServer) Shutdown(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// CloseCounts implements requestServer.
func (busyServer) CloseCounts() http1.CloseCounts { return http1.CloseCounts{} }

// blockedWriter is an output that nobody reads.
type blockedWriter struct{ unblocked chan struct{} }

// Write implements io.Writer.
func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	return len(p), nil
}

// newBusyDaemon returns a daemon whose servers have requests that do not end.
func newBusyDaemon(t *testing.T, grace time.Duration, out io.Writer) *Daemon {
	t.Helper()
	s := schema.Sidecar_builder{
		Backend: proto.String("127.0.0.1:1"),
		Inbound: proto.String("127.0.0.1:2"),
		Control: proto.String("127.0.0.1:3"),
		Bounds:  schema.Bounds_builder{Grace: durationpb.New(grace)}.Build(),
	}.Build()
	daemon, err := New(s, Platform{}, logs.NewWriter(out), true)
	if err != nil {
		t.Fatal(err)
	}
	daemon.requestServers = []requestServer{busyServer{}}
	daemon.otherServers = []http1.Server{busyServer{}}
	return daemon
}

// TestLogAtStop guards against a log output that nobody reads and that delays the end of a
// planned stop, with requests that last until then, beyond the grace time. A process that is
// killed at that time does not end its connections in order (LOST).
func TestLogAtStop(t *testing.T) {
	datadriven.RunTest(t, "testdata/log_stop", func(t *testing.T, d *datadriven.TestData) (result string) {
		var graceText string
		d.ScanArgs(t, "grace", &graceText)
		grace := parseDuration(t, graceText)
		synctest.Test(t, func(t *testing.T) {
			blocked := blockedWriter{unblocked: make(chan struct{})}
			defer close(blocked.unblocked)
			var out io.Writer = blocked
			if d.Cmd == "read" {
				out = io.Discard
			}
			daemon := newBusyDaemon(t, grace, out)
			begin := time.Now()
			if err := daemon.Stop(); err != nil {
				t.Fatal(err)
			}
			result = fmt.Sprintf("%s before the end\n", grace-time.Since(begin))
		})
		return result
	})
}
