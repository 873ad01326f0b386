package backendhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/backendhttp"
)

// rawServer answers the first request of each connection with a valid response and the others with
// raw. If end is set, it answers the first one so, without reading its body, and then resets the
// connection or ends its side ("half"), or after that ("close").
type rawServer struct {
	listener net.Listener
	raw      string
	end      string
	runs     atomic.Int64
}

func serveRaw(t *testing.T, text, end string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	raw, err := strconv.Unquote(`"` + text + `"`)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	s := &rawServer{listener: l, raw: raw, end: end}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *rawServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for text := "HTTP/1.1 204 No Content\r\n\r\n"; ; text = s.raw {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.runs.Add(1)
		switch s.end {
		case "reset":
			_, _ = io.WriteString(c, s.raw)
			_ = c.SetLinger(0)
			return
		case "half":
			_, _ = io.WriteString(c, s.raw)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			return
		case "close":
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, s.raw)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, text)
	}
}

func (s *rawServer) client() *backendhttp.Client {
	return backendhttp.New(s.listener.Addr().String(), 1, func(http.Header) bool { return false }, func() {})
}

// TestMalformedResponse guards against a message that is not a valid response and of which bytes
// are forwarded (MIXED), and against a request that net/http sends again because of one (TWICE).
// Each line of the input is what a server sends on a kept connection; the command is the request.
func TestMalformedResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/malformed", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			s := serveRaw(t, line, "")
			c := s.client()
			_ = send(context.Background(), c, newRequest(d.Cmd))
			result := send(context.Background(), c, newRequest(d.Cmd))
			fmt.Fprintf(&out, "%s\n  %q, executed %d times\n", line, result, s.runs.Load()-1)
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
			s := serveRaw(t, line, d.Cmd)
			taken := 0
			for range requests {
				var body io.Reader = strings.NewReader(strings.Repeat("b", size))
				if d.HasArg("slow") {
					body = &slowBody{rest: size}
				}
				r := backendhttp.NewRequest(http.MethodPost, "/", http.Header{}, body, int64(size))
				if text := send(context.Background(), s.client(), r); text != "no response" && !strings.HasSuffix(text, "(cut)") {
					taken++
				}
			}
			fmt.Fprintf(&out, "%s: %d of %d taken for complete\n", line, taken, requests)
		}
		return out.String()
	})
}
