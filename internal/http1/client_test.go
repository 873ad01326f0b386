package http1_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// cannedResponses are the responses that a script can make the server send. %s is the
// Id of the request.
var cannedResponses = map[string]string{
	"ok":        "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody",
	"leaving":   "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
	"chunks":    "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"unframed":  "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nbody",
	"cut":       "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 40\r\n\r\nbody",
	"cutchunk":  "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nbody",
	"other":     "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong",
	"garbage":   "no answer at all\r\n\r\n",
	"continue":  "HTTP/1.1 100 Continue\r\n\r\n",
	"refusal":   "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 2\r\n\r\nno",
	"bare":      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno",
	"trailer":   "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n",
	"interim":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody",
	"empty":     "HTTP/1.1 204 No Content\r\nId: %s\r\n\r\n",
	"nameless":  "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnameless",
	"keepalive": "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\nbody",
}

// scriptedServer handles each request as its script says. A script consists of names of
// canned responses and may end with close, reset, silence or read. The word copy stands for the
// last refusal that the server sent on the connection, if any.
type scriptedServer struct {
	listener net.Listener
	script   chan string
	seen     chan string
	// received describes what the server reads after a response.
	received chan string
	// silent receives a value when the server falls silent without having sent anything.
	silent chan struct{}
	// finished is the number of scripts that have run to their end.
	finished atomic.Int64
	// cut is the number of bytes of each canned response that are sent, zero for all.
	cut atomic.Int64
	// last is the connection that was accepted last.
	last atomic.Pointer[net.TCPConn]
}

func newScriptedServer(t *testing.T) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l, script: make(chan string, 16), seen: make(chan string, 16), received: make(chan string, 16), silent: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.last.Store(c.(*net.TCPConn))
			go s.serve(c, n)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, n int) {
	defer func() { _ = c.Close() }()
	buf := make([]byte, 1<<20)
	refusal := ""
	for {
		read, err := c.Read(buf)
		if err != nil {
			return
		}
		head := string(buf[:read])
		id := "?"
		for line := range strings.SplitSeq(head, "\r\n") {
			if v, ok := strings.CutPrefix(line, "Id: "); ok {
				id = v
			}
		}
		seen := fmt.Sprintf("connection %d", n)
		if strings.Contains(head, "\r\nForwarded: ") {
			for _, name := range []string{"Connection", "Content-Length", "Expect", "Transfer-Encoding"} {
				seen += fmt.Sprintf(", %s %d", name, strings.Count(head, "\r\n"+name+": "))
			}
		}
		s.seen <- seen
		if !s.answer(c, <-s.script, id, &refusal) {
			_ = c.Close()
			s.finished.Add(1)
			return
		}
		s.finished.Add(1)
	}
}

// answer does what a script says, and reports whether the connection is used further on.
func (s *scriptedServer) answer(c net.Conn, script, id string, refusal *string) bool {
	buf := make([]byte, 1<<20)
	for word := range strings.FieldsSeq(script) {
		switch word {
		case "close":
			return false
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		case "read":
			n, _ := c.Read(buf)
			s.received <- fmt.Sprintf("received %q", buf[:n])
			return false
		case "silence":
			if script == "silence" {
				s.silent <- struct{}{}
			}
			_, _ = c.Read(buf)
			return false
		case "copy":
			_, _ = c.Write([]byte(*refusal))
		default:
			text := cannedResponses[word]
			if strings.Contains(text, "%s") {
				text = fmt.Sprintf(text, id)
			}
			if word == "refusal" || word == "bare" {
				*refusal = text
			}
			if n := s.cut.Load(); n > 0 {
				text = text[:n]
			}
			_, _ = c.Write([]byte(text))
		}
	}
	return true
}

// resetLast resets the connection that was accepted last.
func (s *scriptedServer) resetLast() {
	c := s.last.Load()
	_ = c.SetLinger(0)
	_ = c.Close()
	// Wait for the reset to arrive.
	time.Sleep(30 * time.Millisecond)
}

// TestClient sends requests to a scripted server. Each line of the input is a request
// and what the server does with it. A request with the prefix "late-" is sent on a connection
// that the server resets after the client has chosen it and before the client writes. One with
// the prefix "withdrawn-" is given up before it is committed; "read" is what the server then
// receives after its canned responses.
func TestClient(t *testing.T) {
	datadriven.RunTest(t, "testdata/client", func(t *testing.T, d *datadriven.TestData) string {
		s := newScriptedServer(t)
		c := http1.NewClient(s.listener.Addr().String(), eventTimeout, 4)
		var out strings.Builder
		sent := int64(0)
		for line := range strings.SplitSeq(d.Input, "\n") {
			verb, script, _ := strings.Cut(line, " ")
			if verb == "cuts" {
				fmt.Fprintf(&out, "%s: %s\n", line, s.sendCuts(c, script))
				continue
			}
			if verb == "wait" {
				// Wait for unsolicited bytes, or an end, from the server to arrive.
				for end := time.Now().Add(eventTimeout); s.finished.Load() < sent && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(30 * time.Millisecond)
				continue
			}
			s.script <- script
			sent++
			ctx, cancel := s.requestContext(script)
			verb, late := strings.CutPrefix(verb, "late-")
			verb, withdrawn := strings.CutPrefix(verb, "withdrawn-")
			req := newRequest(verb)
			if withdrawn {
				req.SetOnCommit(func() bool { return false })
			}
			if late {
				req.SetOnCommit(sync.OnceValue(func() bool {
					s.resetLast()
					return true
				}))
			}
			resp, err := c.Do(ctx, req)
			cancel()
			fmt.Fprintf(&out, "%s: %s\n", line, formatResult(resp, err))
			if strings.HasSuffix(script, " read") {
				fmt.Fprintf(&out, "  %s\n", <-s.received)
			}
			for len(s.seen) > 0 {
				fmt.Fprintf(&out, "  %s\n", <-s.seen)
			}
		}
		return out.String()
	})
}

// requestContext returns the context of a request. It ends some time after the server has fallen
// silent without having sent anything. A limit that starts with the request would end it before
// the server has read it on a busy machine, and leave the script to the next request.
func (s *scriptedServer) requestContext(script string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	if script == "silence" {
		go func() {
			<-s.silent
			time.Sleep(300 * time.Millisecond)
			cancel()
		}()
	}
	return ctx, cancel
}

// sendCuts sends requests to which the server sends a canned response up to its first byte, up
// to its second and so on, but never the whole of it, and then closes or resets the connection.
// It reports how many of them the client took for complete.
func (s *scriptedServer) sendCuts(c *http1.Client, script string) string {
	word, _, _ := strings.Cut(script, " ")
	text := strings.ReplaceAll(cannedResponses[word], "%s", "mine")
	taken := 0
	for n := 1; n < len(text); n++ {
		s.cut.Store(int64(n))
		s.script <- script
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		if _, err := c.Do(ctx, newRequest("post")); !errors.Is(err, http1.ErrResponseLost) {
			taken++
		}
		cancel()
		<-s.seen
	}
	s.cut.Store(0)
	return fmt.Sprintf("%d cuts, %d taken for complete", len(text)-1, taken)
}

func newRequest(verb string) *http1.Request {
	h := http.Header{"Id": {"mine"}}
	r := http1.NewRequest(http.MethodGet, "/", "example", h)
	switch verb {
	case "post":
		r = http1.NewRequest(http.MethodPost, "/", "example", h)
		r.SetBody([]byte("hello"), nil, 5)
	case "forwarded": // with the fields that framed the body on another connection
		h.Set("Forwarded", "by=a")
		h.Set("Connection", "close")
		h.Set("Content-Length", "5")
		h.Set("Expect", "100-continue")
		h.Set("Transfer-Encoding", "chunked")
		r = http1.NewRequest(http.MethodPost, "/", "example", h)
		r.SetBody([]byte("hello"), nil, 5)
	case "await":
		r = http1.NewRequest(http.MethodPost, "/", "example", h)
		r.SetBody([]byte("hello"), nil, 5)
		r.SetExpectContinue()
	case "large":
		r = http1.NewRequest(http.MethodPost, "/", "example", h)
		r.SetBody(make([]byte, 8<<20), nil, 8<<20)
	}
	r.SetResponseMatcher(func(h http.Header) http1.Match {
		switch h.Get("Id") {
		case "mine":
			return http1.Matched
		case "":
			return http1.Unidentified
		}
		return http1.Mismatch
	})
	r.SetCloseAfter(func(status int, _ http.Header) bool { return status == http.StatusServiceUnavailable })
	return r
}

func formatResult(resp *http1.Response, err error) string {
	switch {
	case errors.Is(err, http1.ErrDial):
		return "cannot connect"
	case errors.Is(err, http1.ErrNotSent):
		return "not sent"
	case errors.Is(err, http1.ErrBodyNotRequested):
		return "held back"
	case errors.Is(err, http1.ErrResponseLost):
		return "lost"
	case err != nil:
		return err.Error()
	}
	return fmt.Sprintf("%d %s", resp.Status(), resp.Body())
}

// TestDelaySignalShutdown checks that servers stay open after a termination signal. By
// default go-zero closes them one second later. It handles one signal in the life of a process,
// so that the test runs in a process of its own.
func TestDelaySignalShutdown(t *testing.T) {
	if os.Getenv("SIGNAL_TEST") == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^TestDelaySignalShutdown$")
		cmd.Env = append(os.Environ(), "SIGNAL_TEST=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%v: %s", err, out)
		}
		return
	}
	http1.DelaySignalShutdown(time.Hour)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	server, err := http1.Listen("signal-test", address, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	// The signal is sent again while go-zero does not handle signals yet.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
	for handled := false; !handled; {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case <-proc.Done():
			handled = true
		case <-time.After(50 * time.Millisecond):
		}
	}
	time.Sleep(1300 * time.Millisecond)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("server closed after SIGTERM: %v", err)
	}
	_ = c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
}

func ExampleClient() {
	c := http1.NewClient("127.0.0.1:1", time.Second, 1)
	_, err := c.Do(context.Background(), http1.NewRequest(http.MethodGet, "/", "example", nil))
	fmt.Println(errors.Is(err, http1.ErrNotSent))
	// Output: true
}
