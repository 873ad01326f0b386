package backendhttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/backendhttp"
	"github.com/lycheehead/lycheehead/internal/wirecheck/wiretest"
)

func clientOf(s *wiretest.RawServer) *backendhttp.Client {
	return backendhttp.New(s.Address(), 1, func(http.Header) bool { return false }, func() {})
}

// TestMalformedResponse guards against a message that is not a valid response and of which bytes
// are forwarded (MIXED), and against a request that net/http sends again because of one (TWICE).
// Each line of the input is what a server sends on a kept connection; the command is the request.
func TestMalformedResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/malformed", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			s := wiretest.ServeRaw(t, line, wiretest.Kept, true)
			c := clientOf(s)
			_ = send(context.Background(), c, newRequest(d.Cmd))
			result := send(context.Background(), c, newRequest(d.Cmd))
			fmt.Fprintf(&out, "%s\n  %q, executed %d times\n", line, result, s.Requests()-1)
		}
		return out.String()
	})
}

// slowBody is a body that arrives slower than the response.
type slowBody struct{ rest int }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Millisecond)
	n := min(len(p), b.rest, 1000)
	b.rest -= n
	return n, nil
}

// TestPartialResponse guards against a part of a response that is taken for the whole of it since
// the goroutine of net/http that writes the body met the error of the connection (MIXED). With slow,
// the body arrives slower than the response.
func TestPartialResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/partial", func(t *testing.T, d *datadriven.TestData) string {
		var size, requests int
		d.ScanArgs(t, "size", &size)
		d.ScanArgs(t, "requests", &requests)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			end := wiretest.End(d.Cmd)
			s := wiretest.ServeRaw(t, line, end, end == wiretest.Close)
			taken := 0
			for range requests {
				var body io.Reader = strings.NewReader(strings.Repeat("b", size))
				if d.HasArg("slow") {
					body = &slowBody{rest: size}
				}
				r := backendhttp.NewRequest(http.MethodPost, "/", http.Header{}, body, int64(size))
				if text := send(context.Background(), clientOf(s), r); text != "no response" && !strings.HasSuffix(text, "(cut)") {
					taken++
				}
				s.Resume()
			}
			fmt.Fprintf(&out, "%s: %d of %d taken for complete\n", line, taken, requests)
		}
		return out.String()
	})
}
