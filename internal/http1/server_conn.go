package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// serverConn is a connection of a client. Its serve goroutine reads requests, and each
// request has a goroutine that runs the handler and writes the response.
type serverConn struct {
	server *PipelineServer
	raw    net.Conn
	head   *headReader
	r      *bufio.Reader
	ctx    context.Context //nolint:containedctx // ends with the connection
	cancel context.CancelFunc
	// slots bounds the requests that have not been answered.
	slots chan struct{}
	// mu has rank lock.Connections and guards the fields below.
	mu *lock.Mutex
	// open is the number of requests that have not been answered. accepted is the number
	// of all requests, and lastDone is closed once the last of them has been answered.
	open     int
	accepted uint64
	lastDone <-chan struct{}
	// lastAlone states that the last request may not run beside others.
	lastAlone bool
	// reading is set while the head of a request is being read.
	reading bool
	// lastHeadSent states that the head of the response to the last request has been sent.
	lastHeadSent bool
	// closing is set once the connection is to end. lastAccepted is set once no further
	// requests are accepted: once a response announces the end, or is bound to do so.
	closing, lastAccepted bool
	// late states that the connection was accepted during the shutdown of the server.
	late bool
}

// serve reads requests until the connection ends.
func (c *serverConn) serve() {
	defer func() {
		c.cancel()
		_ = c.raw.Close()
		c.server.remove(c)
	}()
	for {
		e, err := c.next()
		var rejected *requestError
		switch {
		case errors.As(err, &rejected):
			c.reject(rejected)
			c.discard()
			return
		case err != nil:
			return
		case e == nil:
			c.discard()
			return
		}
		watch := e.body != nil && e.body.expectsContinue.Load()
		go e.run()
		if e.body != nil && !c.awaitBody(e, watch) {
			return
		}
		// A response to an HTTP/1.0 client may end with the connection, which is known once it
		// is sent. Such clients do not pipeline, so the next request is not accepted before.
		if !e.request.ProtoAtLeast(1, 1) && c.watchUntil(e.done) != nil {
			return
		}
	}
}

// awaitBody waits until the handler has read the body of a request, which is on the connection
// before the next request, and reports whether it has. If watch is set, the client waits to be
// asked for the body, and the connection is watched until then, so that the request is
// cancelled if the client leaves.
func (c *serverConn) awaitBody(e *exchange, watch bool) bool {
	if watch {
		err := c.watchUntil(e.body.wanted)
		close(e.body.unwatched)
		if err != nil {
			return false
		}
	}
	select {
	case <-e.body.ended:
	case <-e.done:
	}
	if e.body.complete() {
		return true
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.discard()
	return false
}

// next reads the head of the next request. It returns nil if no further request is
// accepted. A request is returned once it may run: if it, or the last one, may not run beside
// others, once the last one has been answered.
func (c *serverConn) next() (*exchange, error) {
	if ok, err := c.awaitRequest(); !ok || err != nil {
		return nil, err
	}
	req, framing, err := parseHead(c.r)
	c.head.endHead()
	switch {
	case errors.Is(err, errHeadTimeout) && c.server.goAway.Load() != nil && c.openRequests() == 0:
		c.endIdle()
		return nil, nil //nolint:nilnil // neither a request nor an error
	case err != nil:
		return nil, err
	}
	e := newExchange(c, req, framing)
	e.alone = !runsBesideOthers(req, framing)
	last, alone, ok := c.accept(e)
	if !ok {
		return nil, nil //nolint:nilnil // neither a request nor an error
	}
	if err := c.awaitSlot(); err != nil {
		return nil, err
	}
	if err := c.awaitAnswers(last, alone); err != nil {
		return nil, err
	}
	return e, nil
}

// runsBesideOthers reports whether a request may run while other requests of its
// connection do.
func runsBesideOthers(req *http.Request, f bodyFraming) bool {
	if f.chunked || f.length > 0 || req.Header["Expect"] != nil {
		return false
	}
	return req.Method == http.MethodGet || req.Method == http.MethodHead || req.Method == http.MethodOptions
}

// awaitRequest waits for the first byte of a request, and reports whether the request is
// accepted. The connection ends when it has been idle for too long or is being closed, unless
// a request arrives at that moment.
func (c *serverConn) awaitRequest() (ok bool, err error) {
	c.mu.Lock()
	if c.open == 0 && c.r.Buffered() == 0 {
		_ = c.raw.SetReadDeadline(c.idleDeadline(time.Now()))
	}
	c.mu.Unlock()
	c.head.beginHead(c.r.Buffered(), c.server.limits().maxHead())
	_, err = c.r.Peek(1)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.clearDeadline() {
		_, err = c.r.Peek(1)
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) && unread(c.raw) {
		return c.beginRead(), nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.endIdle()
		return false, nil
	}
	return false, fmt.Errorf("await request: %w", err)
}

// endIdle ends a connection without open requests, and tells the client so if the server has a
// response for that. The client may not have received all of the last response, so that a
// request that it sends now must not reset the connection.
func (c *serverConn) endIdle() {
	c.mu.Lock()
	ending := c.lastAccepted
	c.lastAccepted = true
	c.mu.Unlock()
	if ending {
		return
	}
	if notice := c.server.goAway.Load(); notice != nil {
		_ = c.raw.SetWriteDeadline(time.Now().Add(lingerTimeout))
		if _, err := c.raw.Write(*notice); err != nil {
			return
		}
	}
	c.linger()
}

// clearDeadline removes the read deadline if requests are open, and reports whether they are.
// The deadline was meant for the body of one of them then, which has been read meanwhile.
func (c *serverConn) clearDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	return true
}

// idleDeadline returns the time until which a connection without open requests is kept. The
// caller holds mu.
func (c *serverConn) idleDeadline(now time.Time) time.Time {
	switch {
	case c.lastAccepted:
		return now.Add(lingerTimeout)
	case !c.closing:
		return now.Add(c.server.limits().idleTimeout())
	case c.late && c.accepted == 0:
		return now.Add(lateRequestTimeout)
	}
	return time.Unix(1, 0)
}

// beginRead records that the first byte of a request has arrived, and reports whether
// the request is accepted.
func (c *serverConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastAccepted {
		return false
	}
	c.reading = true
	_ = c.raw.SetReadDeadline(c.headDeadline(time.Now()))
	return true
}

// headDeadline returns the time until which a head that has begun to arrive is read. The
// caller holds mu.
func (c *serverConn) headDeadline(now time.Time) time.Time {
	deadline := now.Add(c.server.limits().headTimeout())
	if until := c.server.closeAt.Load(); until != nil && c.closing && until.Before(deadline) {
		return *until
	}
	return deadline
}

// linger stops writing, and bounds the time for which the client may still write.
func (c *serverConn) linger() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// awaitSlot waits until fewer than maxPipelined requests are open.
func (c *serverConn) awaitSlot() error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	acquired := make(chan struct{})
	go func() {
		select {
		case c.slots <- struct{}{}:
			close(acquired)
		case <-c.ctx.Done():
		}
	}()
	return c.watchUntil(acquired)
}

// awaitAnswers waits until the last request before the current one, and so all before it,
// have been answered, if the two may not run beside each other.
func (c *serverConn) awaitAnswers(last <-chan struct{}, alone bool) error {
	if last == nil || !alone {
		return nil
	}
	return c.watchUntil(last)
}

// watchUntil waits until done is closed, and returns an error if the client disconnects
// before that. Once further requests of the client fill the buffer, a client that
// disconnects is no longer noticed.
func (c *serverConn) watchUntil(done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	default:
	}
	ctx, cancel := context.WithCancel(c.ctx)
	interrupted := make(chan struct{})
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(interrupted)
		select {
		case <-done:
			_ = c.raw.SetReadDeadline(time.Unix(1, 0))
		case <-ctx.Done():
		}
	}()
	defer func() {
		cancel()
		<-interrupted
		_ = c.raw.SetReadDeadline(time.Time{})
	}()
	for {
		_, err := c.r.Peek(c.r.Buffered() + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			select {
			case <-done:
			case <-c.ctx.Done():
				return fmt.Errorf("await answers: %w", c.ctx.Err())
			}
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			return fmt.Errorf("await answers: %w", err)
		}
	}
}

// accept makes a request the last one of the connection, unless no further requests are
// accepted. From then on the connection is not closed before the request has been answered,
// even if it has to wait for the answers to others. accept returns a channel that is closed
// once the request before it has been answered, nil if there is none, and whether the two may
// not run beside each other.
func (c *serverConn) accept(e *exchange) (previous <-chan struct{}, alone, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.lastAccepted {
		return nil, false, false
	}
	e.previous = c.lastDone
	alone = e.alone || c.lastAlone
	c.lastDone, c.lastAlone, c.lastHeadSent = e.done, e.alone, false
	c.accepted++
	e.number = c.accepted
	c.open++
	if c.closing || e.request.Close {
		c.setClosing()
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	return e.previous, alone, true
}

// setClosing makes the connection end. If a response is still to announce that, no further
// requests are accepted. Otherwise the client may send one more. The caller holds mu.
func (c *serverConn) setClosing() {
	c.closing = true
	if c.open > 0 && !c.lastHeadSent {
		c.lastAccepted = true
	}
}

// beginClose makes the connection end once the requests that have been accepted, or whose
// head is arriving, have been answered.
func (c *serverConn) beginClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.setClosing()
	switch {
	case c.open > 0:
	case c.reading:
		_ = c.raw.SetReadDeadline(c.headDeadline(time.Now()))
	default:
		_ = c.raw.SetReadDeadline(c.idleDeadline(time.Now()))
	}
}

// closeCounts returns what would end without a response if the connection were closed now.
func (c *serverConn) closeCounts() CloseCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := CloseCounts{cut: c.open}
	if c.open == 0 && !c.lastAccepted && (c.reading || unread(c.raw)) {
		n.unread = 1
	}
	return n
}

// openRequests returns the number of requests that have not been answered.
func (c *serverConn) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// lastResponse records that the head of the response to e is sent. It reports whether the
// connection ends with that response, and makes it so if closeAfter is set and no other
// request has been accepted.
func (c *serverConn) lastResponse(e *exchange, closeAfter bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || closeAfter {
		c.setClosing()
	}
	last := c.closing && e.number == c.accepted
	c.lastAccepted = c.lastAccepted || last
	c.lastHeadSent = c.lastHeadSent || e.number == c.accepted
	return last
}

// ending reports whether the connection is to end.
func (c *serverConn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// finish records that a request has been answered. After the last response of the
// connection it stops writing.
func (c *serverConn) finish(e *exchange) {
	<-c.slots
	c.mu.Lock()
	c.open--
	last := c.lastAccepted && e.number == c.accepted
	if c.open == 0 && !c.reading && !last {
		_ = c.raw.SetReadDeadline(c.idleDeadline(time.Now()))
	}
	c.mu.Unlock()
	if last {
		c.linger()
	}
}

// reject answers a request that could not be read, once those before it have been
// answered, and accepts no further requests.
func (c *serverConn) reject(err *requestError) {
	e := newExchange(c, &http.Request{Close: true, ProtoMajor: 1, ProtoMinor: 1}, bodyFraming{})
	if _, _, ok := c.accept(e); !ok || c.awaitSlot() != nil {
		return
	}
	e.header.Set("Content-Type", "text/plain; charset=utf-8")
	e.WriteHeader(err.status)
	_, _ = e.Write([]byte(err.text + "\n"))
	go e.finish()
}

// discard reads and ignores what the client sends until the connection ends. While
// requests are open, the end of the connection cancels them.
func (c *serverConn) discard() {
	c.head.endHead()
	end := time.Now().Add(maxLinger)
	for {
		if _, err := c.r.Discard(max(c.r.Buffered(), 1)); err != nil {
			return
		}
		if until := time.Now().Add(lingerTimeout); until.Before(end) && c.openRequests() == 0 {
			_ = c.raw.SetReadDeadline(until)
		}
	}
}

// runHandler calls the handler and reports whether it returned normally.
func (c *serverConn) runHandler(e *exchange, req *http.Request) (ok bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		ok = false
		if err, isErr := v.(error); !isErr || !errors.Is(err, http.ErrAbortHandler) {
			c.server.onPanic(v, debug.Stack())
		}
	}()
	c.server.handler.ServeHTTP(e, req)
	return true
}
