package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/wirecheck/wiretest"
)

// scriptedHandler handles requests as their paths say and records what happens to them.
type scriptedHandler struct {
	mu     sync.Mutex
	gates  map[string]chan struct{}
	events []string
}

func (h *scriptedHandler) record(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf(format, args...))
}

// drain returns the events since the last call, sorted.
func (h *scriptedHandler) drain() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	events := h.events
	h.events = nil
	slices.Sort(events)
	return events
}

// list returns the events since the last call of drain, sorted.
func (h *scriptedHandler) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.events))
}

// begun returns the number of requests that have begun since the last call of drain.
func (h *scriptedHandler) begun() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, event := range h.events {
		if strings.HasPrefix(event, "begins ") {
			n++
		}
	}
	return n
}

// hasBegun reports whether a request has begun since the last call of drain.
func (h *scriptedHandler) hasBegun(path string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.events, "begins "+path)
}

func (h *scriptedHandler) gate(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[path] == nil {
		h.gates[path] = make(chan struct{})
	}
	return h.gates[path]
}

// ServeHTTP implements http.Handler. The first segment of the path says what happens:
// wait waits until the script releases the path or the client leaves, and cancel answers once the
// request has been cancelled.
func (h *scriptedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.record("begins %s", r.URL.Path)
	verb, _, _ := strings.Cut(r.URL.Path[1:], "/")
	switch verb {
	case "wait":
		select {
		case <-h.gate(r.URL.Path):
		case <-r.Context().Done():
			h.record("cancelled %s", r.URL.Path)
			return
		}
	case "cancel":
		<-r.Context().Done()
	case "hold":
		<-h.gate(r.URL.Path)
		w.Header().Set("Connection", "close")
	case "close":
		w.Header().Set("Connection", "close")
	case "panic":
		panic("as the script says")
	case "abort":
		panic(http.ErrAbortHandler)
	case "flow":
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		<-h.gate(r.URL.Path)
	case "short":
		w.Header().Set("Content-Length", "100")
	case "broken":
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case "stuck":
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		<-h.gate(r.URL.Path)
	case "stream":
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
	case "deadline":
		// As in a planned stop, another goroutine ends the reading of the body meanwhile.
		control := http.NewResponseController(w)
		go func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Millisecond):
		}
	case "check":
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Context().Err() != nil {
			h.record("cancelled %s", r.URL.Path)
		}
	case "refuse":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "leave":
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "large":
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	case "page":
		_, _ = io.WriteString(w, strings.Repeat("x", pageBytes))
		h.record("writes %s", r.URL.Path)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		h.record("body of %s cut", r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "for "+r.URL.Path)
	if len(body) > 0 {
		_, _ = fmt.Fprintf(w, " of %d", len(body))
	}
}

// pipelineScript is the state of one script.
type pipelineScript struct {
	t       *testing.T
	handler *scriptedHandler
	server  *http1.PipelineServer
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// idle and head are the limits for idle connections and for heads, or zero.
	idle, head time.Duration
	// busy holds up the server before it reads a request, while it holds a value.
	busy chan struct{}
	// stopped is closed once Shutdown has returned. forced states that it took all of its time.
	stopped chan struct{}
	forced  bool
	// echo is the address of a server that sends back what it receives.
	echo string
	// out is the output so far, and expected that of the whole script.
	out      strings.Builder
	expected string
}

// requestTexts are the requests that a script can send. %s is the path.
var requestTexts = map[string]string{
	"get":      "GET %s HTTP/1.1\r\nHost: h\r\n\r\n",
	"head":     "HEAD %s HTTP/1.1\r\nHost: h\r\n\r\n",
	"last":     "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	"old":      "GET %s HTTP/1.0\r\n\r\n",
	"post":     "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
	"upload":   "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000),
	"chunked":  "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
	"await":    "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n",
	"empty":    "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"halfpost": "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhello",
	"half":     "GET %s HTT",
	"garbage":  "\x00\x01%s\r\n\r\n",
	"both":     "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
	"lengths":  "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
	"signed":   "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
	"gzip":     "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"hostless": "GET %s HTTP/1.1\r\n\r\n",
	"spaced":   "GET %s HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n",
	"two":      "GET %s HTTP/2.0\r\nHost: h\r\n\r\n",
	"fields":   "GET %s HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 2500) + "\r\n",
	"ordinary": "GET %s HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: "+strings.Repeat("b", 40)+"\r\n", 340) + "\r\n",
	"lines":    "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("\n", 300_000),
	"endless":  "GET %s HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 100_000) + "\r\n\r\n",
}

// TestPipeline runs scripts against a server. A script line is a request to send, or a
// command.
func TestPipeline(t *testing.T) {
	echo := startEcho(t)
	datadriven.RunTest(t, "testdata/pipeline", func(t *testing.T, d *datadriven.TestData) string {
		s := &pipelineScript{t: t, handler: &scriptedHandler{gates: make(map[string]chan struct{})}, address: freeAddress(t), stopped: make(chan struct{}), busy: make(chan struct{}, 1), echo: echo, expected: d.Expected}
		var err error
		for name, limit := range map[string]*time.Duration{"idle": &s.idle, "head": &s.head} {
			if !d.HasArg(name) {
				continue
			}
			var text string
			d.ScanArgs(t, name, &text)
			if *limit, err = time.ParseDuration(text); err != nil {
				t.Fatal(err)
			}
		}
		s.server, err = http1.ListenPipelined(s.address, s.handler, func(v any, _ []byte) { s.handler.record("panic: %v", v) }, s.limits)
		if err != nil {
			t.Fatal(err)
		}
		if d.HasArg("goaway") {
			s.server.SetGoAway(http.StatusServiceUnavailable, http.Header{})
		}
		s.connect()
		for line := range strings.SplitSeq(d.Input, "\n") {
			s.out.WriteString(s.runLine(line))
		}
		s.stop(0)
		return s.out.String()
	})
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startEcho starts a server that sends back what it receives, and returns its address.
func startEcho(t *testing.T) string {
	return wiretest.Serve(t, "127.0.0.1:0", func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
}

const (
	// eventTimeout bounds the wait for an event that a script expects. It is long, as it passes
	// only where the event does not happen.
	eventTimeout = 10 * time.Second
	// settleTime and settleRounds are how long the server has, at least, to process what was
	// sent: some time, and round trips through the scheduler and the loopback interface, which
	// take longer on a busy machine.
	settleTime   = 100 * time.Millisecond
	settleRounds = 20
)

// settle waits until the server has processed what was sent.
func (s *pipelineScript) settle(d time.Duration) {
	c, err := net.Dial("tcp", s.echo)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for range settleRounds {
		b := []byte{0}
		if _, err := c.Write(b); err != nil {
			s.t.Fatal(err)
		}
		if _, err := io.ReadFull(c, b); err != nil {
			s.t.Fatal(err)
		}
		time.Sleep(d / settleRounds)
	}
}

// awaitEvents waits until the events that are expected now have happened, and for some time for
// others. format formats the events.
func (s *pipelineScript) awaitEvents(format func(events []string) string) string {
	s.settle(settleTime / 2)
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.HasPrefix(s.expected, s.out.String()+format(s.handler.list())) {
			break
		}
	}
	return format(s.handler.drain())
}

func (s *pipelineScript) limits() http1.ConnLimits {
	s.busy <- struct{}{}
	<-s.busy
	return http1.NewConnLimits(s.idle, s.head, 0)
}

func (s *pipelineScript) connect() {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.conn, s.reader = c, bufio.NewReader(c)
}

// stop shuts the server down and reports whether that has taken all of its time.
func (s *pipelineScript) stop(timeout time.Duration) (forced bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = s.server.Shutdown(ctx)
	return ctx.Err() != nil
}

func (s *pipelineScript) runLine(line string) string {
	args := strings.Fields(line)
	if text, ok := requestTexts[args[0]]; ok {
		_, _ = io.WriteString(s.conn, fmt.Sprintf(text, args[1]))
		return ""
	}
	switch args[0] {
	case "raw":
		_, _ = io.WriteString(s.conn, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(strings.TrimPrefix(line, "raw ")))
	case "many":
		for i := range 40 {
			_, _ = io.WriteString(s.conn, fmt.Sprintf(requestTexts["get"], fmt.Sprintf("/wait/%d", i)))
		}
	case "succession": // succession n: an HTTP/1.0 client sends n requests, each after the response to the last one
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		for k := range n {
			_, _ = fmt.Fprintf(s.conn, "GET /fast/%d HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", k)
			if text := s.read(http.MethodGet); text != fmt.Sprintf("  200 for /fast/%d\n", k) {
				return fmt.Sprintf("  request %d:%s", k, text)
			}
		}
		return "  all answered\n"
	case "release":
		close(s.handler.gate(args[1]))
	case "settle":
		s.settle(settleTime)
	case "begun": // begun n: waits until n requests have begun
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.awaitBegun(n)
	case "cut": // cut n: n clients wait for responses as the server reaches its time limit
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		return s.cut(n)
	case "arrives": // arrives: waits until bytes of the server have arrived
		_ = s.conn.SetReadDeadline(time.Now().Add(eventTimeout))
		_, _ = s.reader.Peek(1)
	case "seen":
		return s.awaitEvents(func(events []string) string {
			if len(events) == 0 {
				return "  nothing\n"
			}
			return "  " + strings.Join(events, ", ") + "\n"
		})
	case "count":
		return s.awaitEvents(func(events []string) string { return fmt.Sprintf("  %d events\n", len(events)) })
	case "read":
		return s.read(http.MethodGet)
	case "narrow": // narrow: the client receives only little at a time
		_ = s.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	case "deadlines": // deadlines n: n clients send bodies whose reading is ended meanwhile
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		return s.deadlines(n)
	case "unsent": // unsent n: n clients send 15 requests each whose responses have to wait
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		return s.unsent(n)
	case "promptly": // promptly: reads a response that must not wait for anything
		begin := time.Now()
		text := s.read(http.MethodGet)
		if time.Since(begin) > promptTime {
			return "  late:" + text[1:]
		}
		return text
	case "crossing": // crossing n: n clients send requests while the server shuts down
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		return s.crossing(n)
	case "readhead":
		return s.read(http.MethodHead)
	case "end":
		return s.readEnd(eventTimeout)
	case "stays": // stays: the connection stays open for a second
		return s.readEnd(time.Second)
	case "busy": // busy, ready: the server is too busy to read requests, and is no more
		s.busy <- struct{}{}
	case "ready":
		<-s.busy
	case "leave":
		_ = s.conn.Close()
	case "reset":
		_ = s.conn.(*net.TCPConn).SetLinger(0)
		_ = s.conn.Close()
	case "connect":
		s.connect()
	case "shutdown": // shutdown [timeout], 4 s by default: begins to shut the server down
		timeout := 4 * time.Second
		if len(args) > 1 {
			var err error
			if timeout, err = time.ParseDuration(args[1]); err != nil {
				s.t.Fatal(err)
			}
		}
		go func() {
			s.forced = s.stop(timeout)
			close(s.stopped)
		}()
		<-s.server.Draining().Done()
		s.settle(settleTime / 2)
	case "stopped":
		select {
		case <-s.stopped:
			text := "  stopped"
			if s.forced {
				text += " at the time limit"
			}
			if n := s.server.CloseCounts(); n.Cut()+n.Unread() > 0 {
				text += fmt.Sprintf(", %d cut, %d unread", n.Cut(), n.Unread())
			}
			return text + "\n"
		case <-time.After(6 * time.Second):
			return "  still running\n"
		}
	default:
		s.t.Fatalf("unknown line %q", line)
	}
	return ""
}

// graceTime is the time that the platform gives a planned stop.
const graceTime = 6 * time.Second

// pageBytes is the size of a response that fits into the buffer of its request, and
// heldBytes what a server holds of all responses at most.
const (
	pageBytes = 60 << 10
	heldBytes = 16 << 20
)

// deadlines runs clients that send bodies one after another for two seconds.
func (s *pipelineScript) deadlines(clients int) string {
	var group sync.WaitGroup
	var unanswered atomic.Int64
	for range clients {
		group.Go(func() {
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				unanswered.Add(s.postUntilClosed(end))
			}
		})
	}
	group.Wait()
	return fmt.Sprintf("  %d unanswered\n", unanswered.Load())
}

// postUntilClosed sends requests on a connection until its end, and returns the number of those
// that were not answered.
func (s *pipelineScript) postUntilClosed(end time.Time) int64 {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end.Add(5 * time.Second))
	for r := bufio.NewReader(c); time.Now().Before(end); {
		_, _ = io.WriteString(c, fmt.Sprintf(requestTexts["post"], "/deadline/a"))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return 1
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.Close {
			break
		}
	}
	return 0
}

// unsent sends requests whose responses have to wait for a first one, and reports whether the
// server holds all of them.
func (s *pipelineScript) unsent(clients int) string {
	for i := range clients {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			s.t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, fmt.Sprintf(requestTexts["get"], "/wait/first"))
		for k := range 15 {
			_, _ = io.WriteString(c, fmt.Sprintf(requestTexts["get"], fmt.Sprintf("/page/%d/%d", i, k)))
		}
	}
	time.Sleep(time.Second)
	written := 0
	for _, event := range s.handler.drain() {
		if strings.HasPrefix(event, "writes ") {
			written++
		}
	}
	switch {
	case written == 0:
		return "  holds no responses\n"
	case written*pageBytes > heldBytes:
		return "  holds too many responses\n"
	}
	return "  lets handlers wait\n"
}

// awaitBegun waits until n requests have begun since the last call of drain.
func (s *pipelineScript) awaitBegun(n int) {
	for end := time.Now().Add(eventTimeout); s.handler.begun() < n && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

// cut runs clients whose requests are answered once they are cancelled, shuts the server down, and
// compares the responses with the requests that the server counts as cut.
func (s *pipelineScript) cut(clients int) string {
	conns := make([]net.Conn, clients)
	for i := range conns {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			s.t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, requestTexts["get"], fmt.Sprintf("/cancel/%d", i))
		conns[i] = c
	}
	s.awaitBegun(clients)
	s.stop(settleTime)
	answered := 0
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(eventTimeout))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_ = resp.Body.Close()
			answered++
		}
	}
	return fmt.Sprintf("  %d answered, %d cut\n", answered, s.server.CloseCounts().Cut())
}

// promptTime is the time within which a response is sent that waits for nothing.
const promptTime = 100 * time.Millisecond

// crossing runs clients that send one request after another on kept connections, until they
// are told that their connection ends, and shuts the server down meanwhile.
func (s *pipelineScript) crossing(clients int) string {
	var group sync.WaitGroup
	var unanswered, untrue atomic.Int64
	for i := range clients {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			s.t.Fatal(err)
		}
		group.Go(func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			_ = c.SetReadDeadline(time.Now().Add(2 * graceTime))
			for k := 0; ; k++ {
				path := fmt.Sprintf("/fast/%d/%d", i, k)
				_, sendErr := io.WriteString(c, fmt.Sprintf(requestTexts["get"], path))
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					if sendErr == nil {
						unanswered.Add(1)
					}
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp.StatusCode == http.StatusServiceUnavailable && s.handler.hasBegun(path) {
					untrue.Add(1)
				}
				if resp.Close {
					return
				}
				time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond) //nolint:gosec // no secret
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	forced := s.stop(graceTime)
	group.Wait()
	text := fmt.Sprintf("  %d unanswered, %d untrue refusals", unanswered.Load(), untrue.Load())
	if forced {
		text += ", stopped at the time limit"
	}
	return text + "\n"
}

// read reads the next response.
func (s *pipelineScript) read(method string) string {
	_ = s.conn.SetReadDeadline(time.Now().Add(eventTimeout))
	resp, err := http.ReadResponse(s.reader, &http.Request{Method: method})
	if err != nil {
		return "  no response\n"
	}
	body, err := io.ReadAll(resp.Body)
	text := fmt.Sprintf("  %d %s", resp.StatusCode, strings.TrimSpace(string(body)))
	if len(body) > 1000 {
		text = fmt.Sprintf("  %d %d bytes", resp.StatusCode, len(body))
	}
	if err != nil {
		text += " (cut)"
	}
	if resp.Close {
		text += ", closes"
	}
	return text + "\n"
}

// readEnd reports how the connection ends, or that it is open after a time.
func (s *pipelineScript) readEnd(after time.Duration) string {
	_ = s.conn.SetReadDeadline(time.Now().Add(after))
	rest, err := io.ReadAll(s.reader)
	switch {
	case err != nil && strings.Contains(err.Error(), "timeout"):
		return "  open\n"
	case err != nil:
		return "  reset\n"
	}
	return fmt.Sprintf("  closed, %d more bytes\n", len(rest))
}
