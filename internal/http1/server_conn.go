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
	// closing is set once no further requests are accepted. The response to the last
	// request announces it. lastRead is set while the request that is being read is
	// accepted nevertheless.
	closing, lastRead bool
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
	c.awaitRequest()
	c.head.beginHead(c.r.Buffered(), c.server.limits().maxHead())
	if _, err := c.r.Peek(1); err != nil {
		return nil, fmt.Errorf("await request: %w", err)
	}
	if !c.beginRead() {
		return nil, nil //nolint:nilnil // neither a request nor an error
	}
	req, framing, err := parseHead(c.r)
	c.head.endHead()
	if err != nil {
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

// awaitRequest starts the idle timeout if no request is open.
func (c *serverConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 && c.r.Buffered() == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits().idleTimeout()))
	}
}

// beginRead records that the first byte of a request has arrived, and reports whether
// the request is accepted.
func (c *serverConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits().headTimeout()))
	return true
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

// accept makes a request the last one of the connection, unless the connection is being
// closed. From then on the connection is not closed before the request has been answered,
// even if it has to wait for the answers to others. accept returns a channel that is closed
// once the request before it has been answered, nil if there is none, and whether the two may
// not run beside each other.
func (c *serverConn) accept(e *exchange) (previous <-chan struct{}, alone, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing && !c.lastRead {
		return nil, false, false
	}
	c.lastRead = false
	e.previous = c.lastDone
	alone = e.alone || c.lastAlone
	c.lastDone, c.lastAlone = e.done, e.alone
	c.accepted++
	e.number = c.accepted
	c.open++
	c.closing = c.closing || e.request.Close
	_ = c.raw.SetReadDeadline(time.Time{})
	return e.previous, alone, true
}

// beginClose accepts no further requests. If no request is open, it closes the connection,
// or waits for a request that has arrived in part.
func (c *serverConn) beginClose() {
	c.mu.Lock()
	c.closing = true
	idle := c.open == 0 && !c.reading
	c.lastRead = c.open == 0 && c.reading
	if c.lastRead {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.mu.Unlock()
	if idle {
		if unread(c.raw) {
			c.server.countClosed(CloseCounts{unread: 1})
		}
		_ = c.raw.Close()
	}
}

// openRequests returns the number of requests that have not been answered.
func (c *serverConn) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// lastResponse reports whether the connection ends with the response to e, and makes
// it so if e requires that and no other request has been accepted.
func (c *serverConn) lastResponse(e *exchange, closeAfter bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || closeAfter
	return c.closing && e.number == c.accepted
}

// finish records that a request has been answered. After the last response of the
// connection it stops writing, and bounds the time for which the client may still write.
func (c *serverConn) finish(e *exchange) {
	<-c.slots
	c.mu.Lock()
	c.open--
	last := c.closing && e.number == c.accepted
	if c.open == 0 && !c.reading && !last {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits().idleTimeout()))
	}
	c.mu.Unlock()
	if !last {
		return
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
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
	for {
		if _, err := c.r.Discard(max(c.r.Buffered(), 1)); err != nil {
			return
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
