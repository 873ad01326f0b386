// Package wiretest tests that clients reject messages that are not valid responses.
package wiretest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// End is what a RawServer does with a connection behind a response.
type End string

const (
	// Close closes the connection.
	Close End = "close"
	// Reset resets the connection.
	Reset End = "reset"
	// Half ends the server's side of the connection, and reads on once the test calls Resume.
	Half End = "half"
	// Open reads on until the client has closed the connection.
	Open End = "open"
	// Kept keeps the connection for further requests. The first one gets a valid response, so
	// that the others arrive on a connection that the client has used before.
	Kept End = "kept"
)

// validResponse is the response to the first request of a connection that is kept.
const validResponse = "HTTP/1.1 204 No Content\r\n\r\n"

// RawServer answers requests with the bytes of a response, valid or not. Use ServeRaw to create one.
type RawServer struct {
	address  string
	response []byte
	end      End
	drain    bool
	requests atomic.Int64
	// resume is signalled when resumed, the number of calls of Resume, grows. Its lock has rank
	// lock.Tasks and guards that.
	resume  *sync.Cond
	resumed int64
}

// Serve starts a server that calls serve for each connection in a goroutine of its own, and closes the
// connection afterwards. It listens until the test ends, and returns its address.
func Serve(t testing.TB, address string, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// ServeRaw starts a server that answers with a text in which bytes are escaped as in a Go string,
// apart from quotes. With drain, it reads the body of a request before. It runs until the test ends.
func ServeRaw(t *testing.T, text string, end End, drain bool) *RawServer {
	t.Helper()
	response, err := strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	s := &RawServer{response: []byte(response), end: end, drain: drain, resume: sync.NewCond(lock.New(lock.Tasks))}
	s.address = Serve(t, "127.0.0.1:0", s.serve)
	return s
}

// Address returns the server's address.
func (s *RawServer) Address() string { return s.address }

// Resume lets a server read on that has ended its side of a connection. A test calls it once for each
// request, when the client has the result: a client that is delayed would otherwise send the whole
// request before it meets that end.
func (s *RawServer) Resume() {
	s.resume.L.Lock()
	defer s.resume.L.Unlock()
	s.resumed++
	s.resume.Broadcast()
}

// awaitResume waits for as many calls of Resume as requests have arrived.
func (s *RawServer) awaitResume() {
	arrived := s.Requests()
	s.resume.L.Lock()
	defer s.resume.L.Unlock()
	for s.resumed < arrived {
		s.resume.Wait()
	}
}

// Requests returns how many requests have arrived.
func (s *RawServer) Requests() int64 { return s.requests.Load() }

func (s *RawServer) serve(c *net.TCPConn) {
	r := bufio.NewReader(c)
	first := s.response
	if s.end == Kept {
		first = []byte(validResponse)
	}
	if !s.answer(c, r, first) {
		return
	}
	switch s.end {
	case Kept:
		for s.answer(c, r, s.response) {
			continue
		}
	case Reset:
		_ = c.SetLinger(0)
	case Open:
		_, _ = io.Copy(io.Discard, c)
	case Half:
		_ = c.CloseWrite()
		s.awaitResume()
		_, _ = io.Copy(io.Discard, c)
	}
}

// answer reads a request and writes a response. It reports whether a request arrived.
func (s *RawServer) answer(w io.Writer, r *bufio.Reader, response []byte) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	s.requests.Add(1)
	if s.drain {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = w.Write(response)
	return true
}

// RunMalformed runs the script testdata/malformed. Each line of its input is the beginning of a
// response, which a server completes with the length of body and body itself. read reads it from the
// server at an address. The output says for each line whether that succeeded.
func RunMalformed(t *testing.T, body string, read func(t *testing.T, address string) error) {
	datadriven.RunTest(t, "testdata/malformed", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			s := ServeRaw(t, fmt.Sprintf(`%sContent-Length: %d\r\n\r\n%s`, line, len(body), body), Close, true)
			err := read(t, s.Address())
			fmt.Fprintf(&out, "%s: read %t\n", line, err == nil)
		}
		return out.String()
	})
}
