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
// had sent the body said so. It prints how many connections some requests with bodies take. The
// command early says when the response arrives of a server that never reads the body.
func TestConnectionClosedBehindBody(t *testing.T) {
	datadriven.RunTest(t, "testdata/reuse", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "early" {
			return earlyResponse(t)
		}
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

// earlyResponse sends a body to a server that answers, keeps the connection, and reads no more.
func earlyResponse(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 100))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-ctx.Done()
	}()
	r := http1.NewRequest(http.MethodPost, "/", "example", http.Header{})
	r.SetBody(make([]byte, 32<<20), nil, 32<<20)
	begin := time.Now()
	if _, err := http1.NewClient(l.Addr().String(), time.Second, 4).Do(ctx, r); err != nil {
		return err.Error() + "\n"
	}
	if time.Since(begin) > 2*time.Second {
		return "late\n"
	}
	return "in time\n"
}
