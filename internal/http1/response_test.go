package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// rawServer reads the head of each request, and its body if drain is set, writes a response, and
// then ends the connection: by a reset, a close, a close behind which it reads on ("half"), or when
// the client has closed it ("open").
type rawServer struct {
	listener net.Listener
	response []byte
	end      string
	drain    bool
}

func serveRaw(t *testing.T, text, end string, drain bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{listener: l, response: unquote(t, text), end: end, drain: drain}
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
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if s.drain {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = c.Write(s.response)
	switch s.end {
	case "reset":
		_ = c.SetLinger(0)
	case "open":
		_, _ = io.Copy(io.Discard, c)
	case "half":
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	}
}

// unquote returns the bytes of a response that a script has with escapes.
func unquote(t *testing.T, text string) []byte {
	s, err := strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return []byte(s)
}

// TestMalformedResponse guards against a message that is not a valid response and of which bytes
// reach a caller, or whose body ends elsewhere than its sender meant (MIXED). Each line of the
// input is what a server sends in response to a request with the method of the command. With the
// argument "open", the server does not close the connection behind it, and nothing waits for that.
func TestMalformedResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/malformed", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			end := "close"
			if d.HasArg("open") {
				end = "open"
			}
			s := serveRaw(t, line, end, true)
			c := http1.NewClient(s.listener.Addr().String(), time.Second, 1)
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
