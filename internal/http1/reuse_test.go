package http1_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// TestConnectionClosedBehindBody guards against connections that are closed, and refusals without
// an id that are taken for the request's, because a response was read before the goroutine that
// had sent the body said so. It prints how many connections some requests with bodies take.
func TestConnectionClosedBehindBody(t *testing.T) {
	datadriven.RunTest(t, "testdata/reuse", func(t *testing.T, d *datadriven.TestData) string {
		var requests, size int
		d.ScanArgs(t, "requests", &requests)
		d.ScanArgs(t, "body", &size)
		var connections atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if !d.HasArg("unread") {
				_, _ = io.Copy(io.Discard, r.Body)
			}
		}))
		server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		c := http1.NewClient(server.Listener.Addr().String(), time.Second, 4)
		for range requests {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			r := http1.NewRequest(http.MethodPost, "/", "example", http.Header{})
			r.SetBody(make([]byte, size), nil, int64(size))
			_, err := c.Do(ctx, r)
			cancel()
			if err != nil {
				return err.Error() + "\n"
			}
		}
		return fmt.Sprintf("%d connections\n", connections.Load())
	})
}
