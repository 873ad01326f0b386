package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// pausedConn is a connection of a process that stands still for some time when the first read ends
// at its deadline.
type pausedConn struct {
	net.Conn
	pause time.Duration
	once  sync.Once
}

// Read implements net.Conn.
func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.once.Do(func() { time.Sleep(c.pause) })
	}
	return n, err //nolint:wrapcheck // as the connection that is wrapped
}

// TestStandstill guards against requests that get no response since the process stood still for
// a moment as a planned stop ended (LOST). A script is the part of a request that has arrived, and
// the time for which the process stands still. The clock is that of the test.
func TestStandstill(t *testing.T) {
	datadriven.RunTest(t, "testdata/standstill", func(t *testing.T, d *datadriven.TestData) (out string) {
		var text string
		d.ScanArgs(t, "pause", &text)
		pause, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		// The goroutine that accepts connections waits outside the bubble.
		s, err := http1.ListenPipelined("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if d.HasArg("goaway") {
			s.SetGoAway(http.StatusServiceUnavailable, http.Header{})
		}
		synctest.Test(t, func(t *testing.T) {
			client, server := net.Pipe()
			s.ServeConn(&pausedConn{Conn: server, pause: pause})
			_, _ = io.WriteString(client, d.Input+"\r\n")
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(ctx) }()
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				out = fmt.Sprintf("%v\n", err)
			} else {
				_ = resp.Body.Close()
				out = fmt.Sprintf("%d, closes %t\n", resp.StatusCode, resp.Close)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			_ = client.Close()
			time.Sleep(pause)
		})
		return out
	})
}
