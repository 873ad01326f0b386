package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// maxPipelined is the maximum number of requests of one connection that have been
	// read and not been answered.
	maxPipelined = 16
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 2 << 10
	// requestLineBytes is added to the limit for the header.
	requestLineBytes = 4 << 10
	// lingerTimeout is how long a connection is kept after its last response, and after the
	// last bytes of the client, so that bytes that arrive meanwhile do not reset it before
	// the client has read the response. maxLinger limits the total time.
	lingerTimeout = 500 * time.Millisecond
	maxLinger     = 5 * time.Second
	// lateRequestTimeout is the time that the first request of a connection has to arrive if
	// the connection is accepted as the server shuts down.
	lateRequestTimeout = 100 * time.Millisecond
	// closeMargin is the time for the last responses before the end of a shutdown. A process
	// that may use a part of a core stands still for most of each 100 ms, so that 20 ms left
	// requests that were arriving without a response.
	closeMargin = 100 * time.Millisecond
	// shutdownPollInterval is the time between two checks whether all connections have
	// ended.
	shutdownPollInterval = 20 * time.Millisecond
	// minAcceptDelay and maxAcceptDelay bound the time between two attempts to accept
	// connections while that fails, for example for lack of file descriptors.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// PipelineServer is an HTTP/1.1 server whose clients may send further requests before
// the first has been answered. Requests with safe methods and without a body run
// concurrently, at most 16 on a connection; any other request waits until those before
// it have been answered. Responses are sent in the order of the requests.
//
// The server reads from each connection at all times, so that the contexts of all its
// requests end as soon as the client disconnects. A request that was read behind the
// last response of a connection is not passed to the handler.
//
// Use ListenPipelined to create one.
type PipelineServer struct {
	handler  http.Handler
	listener net.Listener
	onPanic  func(value any, stack []byte)
	// limits returns the limits for connections.
	limits func() ConnLimits
	// ctx is the parent of the contexts of all requests.
	ctx    context.Context //nolint:containedctx // lives as long as the server
	cancel context.CancelFunc
	// draining ends when the server begins to shut down.
	draining context.Context //nolint:containedctx // lives as long as the server
	drain    context.CancelFunc
	// closeAt is the time until which requests that are arriving are read during a shutdown,
	// nil for no limit.
	closeAt atomic.Pointer[time.Time]
	// goAway is the response that tells the client of an idle connection that it is closed.
	goAway atomic.Pointer[[]byte]
	// buffered is the number of bytes of responses that are held.
	buffered atomic.Int64
	// accepting is closed once no further connections are accepted.
	accepting chan struct{}
	// closeErr is the error of closing the listener, set before accepting is closed.
	closeErr error
	// mu has rank lock.Connections and guards the fields below.
	mu     *lock.Mutex
	conns  map[*serverConn]struct{}
	closed CloseCounts
}

// CloseCounts says what Shutdown ended without a response.
type CloseCounts struct {
	unread, cut int
}

// Unread returns the number of connections that were closed while bytes of a request were on
// their way that had not been read.
func (c CloseCounts) Unread() int { return c.unread }

// Cut returns the number of requests that had been read and not been answered.
func (c CloseCounts) Cut() int { return c.cut }

// ConnLimits are the limits for the connections of clients. The zero value of a limit stands
// for its default.
type ConnLimits struct {
	idle, head time.Duration
	headBytes  int64
}

// NewConnLimits returns limits: how long a connection may be idle, 2 minutes by default, how
// long the head of a request may take, 10 s by default, and the size of its header in
// bytes, 64 KiB by default and at most.
func NewConnLimits(idle, head time.Duration, headBytes int64) ConnLimits {
	return ConnLimits{idle: idle, head: head, headBytes: headBytes}
}

func (l ConnLimits) idleTimeout() time.Duration { return cmp.Or(l.idle, idleTimeout) }

func (l ConnLimits) headTimeout() time.Duration { return cmp.Or(l.head, headerTimeout) }

// maxHead allows for a request line of usual size beside the header.
func (l ConnLimits) maxHead() int64 {
	if l.headBytes <= 0 {
		return maxHeadBytes
	}
	return min(l.headBytes+requestLineBytes, maxHeadBytes)
}

// ListenPipelined starts a server for handler on an IP address and port and returns at
// once. The server runs until Shutdown. onPanic is called when the handler panics with
// a value other than http.ErrAbortHandler; the connection is closed in both cases. limits
// is called for each request and may be nil.
func ListenPipelined(
	address string, handler http.Handler, onPanic func(value any, stack []byte), limits func() ConnLimits,
) (*PipelineServer, error) {
	if limits == nil {
		limits = func() ConnLimits { return ConnLimits{} }
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("parse listen address %q: %w", address, err)
	}
	// Connections that are idle are closed after a timeout, so the kernel need not probe
	// whether clients are alive.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	draining, drain := context.WithCancel(ctx)
	s := &PipelineServer{
		handler: handler, listener: l, onPanic: onPanic, limits: limits, ctx: ctx, cancel: cancel,
		mu: lock.New(lock.Connections), conns: make(map[*serverConn]struct{}), accepting: make(chan struct{}),
		draining: draining, drain: drain,
	}
	go s.accept()
	return s, nil
}

var _ Server = (*PipelineServer)(nil)

// SetGoAway sets a response without a body that the server sends, unasked, on each connection
// that it closes while no request is open. It is meant for clients that send no request before
// the last one has been answered: such a client takes it for the response to a request that it
// sent at that moment, and which the server does not read.
func (s *PipelineServer) SetGoAway(status int, header http.Header) {
	h := header.Clone()
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	text := b.Bytes()
	s.goAway.Store(&text)
}

func (s *PipelineServer) accept() {
	defer close(s.accepting)
	delay := minAcceptDelay
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.acceptWaiting()
			s.closeErr = s.listener.Close()
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(delay):
			case <-s.draining.Done():
				s.closeErr = s.listener.Close()
				return
			}
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = minAcceptDelay
		setUnackedTimeout(raw)
		go s.add(raw).serve()
	}
}

// acceptWaiting accepts the connections that wait for that, which closing the listener would
// reset.
func (s *PipelineServer) acceptWaiting() {
	for {
		raw, err := acceptNow(s.listener)
		if err != nil {
			return
		}
		setUnackedTimeout(raw)
		go s.add(raw).serve()
	}
}

// add registers a new connection.
func (s *PipelineServer) add(raw net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := &headReader{src: raw}
	c := &serverConn{server: s, raw: raw, head: head, r: bufio.NewReaderSize(head, readBufferBytes), mu: lock.New(lock.Connections)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.slots = make(chan struct{}, maxPipelined)
	c.late = s.draining.Err() != nil
	c.closing = c.late
	s.conns[c] = struct{}{}
	return c
}

func (s *PipelineServer) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// openConns returns the connections that are open.
func (s *PipelineServer) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// reserve reports whether further bytes of a response may be held.
func (s *PipelineServer) reserve(n int) bool {
	if s.buffered.Add(int64(n)) <= maxBufferedTotal {
		return true
	}
	s.buffered.Add(-int64(n))
	return false
}

// CloseCounts returns what Shutdown has ended without a response so far.
func (s *PipelineServer) CloseCounts() CloseCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// closeListener accepts the connections that wait for that, and closes the listener. Closing
// it at once would reset them.
func (s *PipelineServer) closeListener(ctx context.Context) error {
	if tcp, ok := s.listener.(*net.TCPListener); ok {
		_ = tcp.SetDeadline(time.Unix(1, 0))
	}
	select {
	case <-s.accepting:
		return s.closeErr
	case <-ctx.Done():
	}
	if err := s.listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err //nolint:wrapcheck // wrapped by the caller
	}
	return nil
}

// Shutdown implements Server. Requests that have been read, or are arriving, are answered, and
// the last response of each connection says that it is closed.
func (s *PipelineServer) Shutdown(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		end = end.Add(-closeMargin)
		s.closeAt.Store(&end)
	}
	s.drain()
	err := s.closeListener(ctx)
	for _, c := range s.openConns() {
		c.beginClose()
	}
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for len(s.openConns()) > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	for _, c := range s.openConns() {
		n := c.closeCounts()
		s.mu.Lock()
		s.closed.unread += n.unread
		s.closed.cut += n.cut
		s.mu.Unlock()
	}
	// A request that counts as cut gets no response from a handler that returns because its context
	// has ended, so the connections are closed before the contexts end.
	for _, c := range s.openConns() {
		_ = c.raw.Close()
	}
	s.cancel()
	if err != nil {
		return fmt.Errorf("shut down server: %w", err)
	}
	return nil
}
