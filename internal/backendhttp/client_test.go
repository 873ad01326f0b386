package backendhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/backendhttp"
)

// responses are what a script can make the server send.
var responses = map[string]string{
	"ok":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"shed":   "HTTP/1.1 503 Service Unavailable\r\nBackend-Shed: 1\r\nContent-Length: 0\r\n\r\n",
	"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nLast: 1\r\n\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
}

// server answers each request as the next line of its script says. The words of a line are
// responses; copy stands for the last refusal on the connection, and close ends it.
type server struct {
	listener net.Listener
	script   chan string
	// cut is the number of bytes of each response that are sent before the connection is
	// closed, zero for all.
	cut atomic.Int64
	// runs counts the requests.
	runs atomic.Int64
	// last is the connection that was accepted last.
	last atomic.Pointer[net.TCPConn]
}

func newServer(t *testing.T) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, script: make(chan string, 2)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.last.Store(c.(*net.TCPConn))
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	shed := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.runs.Add(1)
		for word := range strings.FieldsSeq(<-s.script) {
			text := responses[word]
			switch word {
			case "close":
				return
			case "copy":
				text = shed
			case "shed":
				shed = text
			}
			if n := s.cut.Load(); n > 0 {
				_, _ = io.WriteString(c, text[:n])
				return
			}
			_, _ = io.WriteString(c, text)
		}
	}
}

func newClient(s *server) *backendhttp.Client {
	return backendhttp.New(s.listener.Addr().String(), 4, func(h http.Header) bool { return h.Get("Backend-Shed") != "" }, func() {})
}

// resetLast resets the connection that was accepted last.
func (s *server) resetLast() {
	c := s.last.Load()
	_ = c.SetLinger(0)
	_ = c.Close()
	// Wait for the reset to arrive.
	time.Sleep(30 * time.Millisecond)
}

// post sends a request and formats the response.
func post(c *backendhttp.Client) string {
	return send(context.Background(), c, backendhttp.NewRequest(http.MethodPost, "/", http.Header{}, strings.NewReader("hello"), 5))
}

// send sends a request and formats the response.
func send(ctx context.Context, c *backendhttp.Client, r backendhttp.Request) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := c.Do(ctx, r)
	if errors.Is(err, backendhttp.ErrNotSent) {
		return "not sent"
	}
	if err != nil {
		return "no response"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	text := strings.TrimSpace(fmt.Sprintf("%d %s", resp.StatusCode, body))
	if err != nil {
		text += " (cut)"
	}
	return text
}

// TestRefusals guards against a refusal that a backend server writes once more and that is
// taken for the response to the next request (REFUSED).
func TestRefusals(t *testing.T) {
	datadriven.RunTest(t, "testdata/refusals", func(t *testing.T, d *datadriven.TestData) string {
		s := newServer(t)
		c := newClient(s)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			s.script <- line
			fmt.Fprintf(&out, "%s: %s\n", line, post(c))
		}
		return out.String()
	})
}

// TestOnce sends requests on a connection that the server ends. Each line of the input is a
// request, with what the server does with its first and its second copy. A request with the
// prefix "once-" must not be executed more than once (TWICE). With the prefix "late-", the
// server resets the connection before the head of the request is written to it (LOST).
func TestOnce(t *testing.T) {
	datadriven.RunTest(t, "testdata/once", func(t *testing.T, d *datadriven.TestData) string {
		s := newServer(t)
		c := newClient(s)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			verb, script, _ := strings.Cut(line, " ")
			for words := range strings.SplitSeq(script, ", ") {
				s.script <- words
			}
			ctx := context.Background()
			verb, late := strings.CutPrefix(verb, "late-")
			if late {
				ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: sync.OnceFunc(s.resetLast)})
			}
			s.runs.Store(0)
			result := send(ctx, c, newRequest(verb))
			fmt.Fprintf(&out, "%s: %s, executed %d times\n", line, result, s.runs.Load())
			for len(s.script) > 0 {
				<-s.script
			}
		}
		return out.String()
	})
}

// newRequest returns a request with the method that verb names.
func newRequest(verb string) backendhttp.Request {
	verb, once := strings.CutPrefix(verb, "once-")
	method := strings.ToUpper(verb)
	r := backendhttp.NewRequest(method, "/", http.Header{}, nil, 0)
	if method == http.MethodPost {
		r = backendhttp.NewRequest(method, "/", http.Header{}, strings.NewReader("hello"), 5)
	}
	if once {
		r = r.AtMostOnce()
	}
	return r
}

// TestCuts guards against a response that breaks off, in its head or later, and is taken for a
// complete one (MIXED, ORDER). Each response is cut behind each of its bytes.
func TestCuts(t *testing.T) {
	datadriven.RunTest(t, "testdata/cuts", func(t *testing.T, d *datadriven.TestData) string {
		s := newServer(t)
		c := newClient(s)
		var out strings.Builder
		for word := range strings.SplitSeq(d.Input, "\n") {
			taken, size := 0, len(responses[word])
			for n := 1; n < size; n++ {
				s.cut.Store(int64(n))
				s.script <- word
				if text := post(c); text != "no response" && !strings.HasSuffix(text, "(cut)") {
					taken++
				}
			}
			fmt.Fprintf(&out, "%s: %d cuts, %d taken for complete\n", word, size-1, taken)
		}
		return out.String()
	})
}
