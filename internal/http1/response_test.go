package http1_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/wirecheck/wiretest"
)

// TestMalformedResponse guards against a message that is not a valid response and of which bytes
// reach a caller, or whose body ends elsewhere than its sender meant (MIXED). Each line of the
// input is what a server sends in response to a request with the method of the command. With the
// argument "open", the server does not close the connection behind it, and nothing waits for that.
func TestMalformedResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/malformed", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			end := wiretest.Close
			if d.HasArg("open") {
				end = wiretest.Open
			}
			s := wiretest.ServeRaw(t, line, end, true)
			c := http1.NewClient(s.Address(), time.Second, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			resp, err := c.Do(ctx, http1.NewRequest(d.Cmd, "/", "example", nil))
			result := formatResult(resp, err)
			switch {
			case ctx.Err() != nil:
				result = "timed out"
			case err == nil:
				result = fmt.Sprintf("%d %q", resp.Status(), resp.Body())
			}
			cancel()
			fmt.Fprintf(&out, "%s\n  %s\n", line, result)
		}
		return out.String()
	})
}

// slowBody is a body that arrives slowly from elsewhere.
type slowBody struct{ pause time.Duration }

// Read implements io.Reader.
func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	return min(len(p), 100), nil
}

// TestPartialResponse guards against a part of a response that is taken for the whole of it since
// the error of the connection was met by the goroutine that writes the body of the request (MIXED).
// The command says how the server ends the connection, and whether it reads the body (drain).
// The body is in memory (memory), comes from elsewhere (source), in chunks (chunks), or slower than
// the response (slow).
func TestPartialResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/partial", func(t *testing.T, d *datadriven.TestData) string {
		var size, requests int
		var body string
		d.ScanArgs(t, "size", &size)
		d.ScanArgs(t, "requests", &requests)
		d.ScanArgs(t, "body", &body)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			s := wiretest.ServeRaw(t, strings.ReplaceAll(line, "BODY", strings.Repeat("b", 700)), wiretest.End(d.Cmd), d.HasArg("drain"))
			c := http1.NewClient(s.Address(), time.Second, 1)
			results := make(map[string]int)
			for range requests {
				r := http1.NewRequest(http.MethodPost, "/", "example", nil)
				switch body {
				case "memory":
					r.SetBody(make([]byte, size), nil, int64(size))
				case "source":
					r.SetBody([]byte("head"), bytes.NewReader(make([]byte, size)), int64(size)+4)
				case "chunks":
					r.SetBody(nil, bytes.NewReader(make([]byte, size)), -1)
				case "slow":
					r.SetBody(nil, slowBody{pause: 20 * time.Millisecond}, int64(size))
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				resp, err := c.Do(ctx, r)
				cancel()
				s.Resume()
				result := formatResult(resp, err)
				if err == nil {
					result = fmt.Sprintf("%d with %d bytes", resp.Status(), len(resp.Body()))
				}
				results[result]++
			}
			fmt.Fprintf(&out, "%s: %v on %d connections\n", line, results, c.Dials())
		}
		return out.String()
	})
}
