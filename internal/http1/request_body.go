package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// requestBody is the body of a request. The handler may read it until it returns, or in
// another goroutine.
type requestBody struct {
	exchange *exchange
	src      io.Reader
	// expectsContinue is set while the client waits to be asked for the body. Until then the
	// server watches the connection. wanted is closed once the handler reads the body or will
	// not do so, and unwatched once the server has left the connection to the handler.
	expectsContinue   atomic.Bool
	wanted, unwatched chan struct{}
	// mu has rank lock.Connections and guards the fields below, and the read deadline of the
	// connection while readsConn is set: while the connection is read for the body, and not for
	// the next request.
	mu        *lock.Mutex
	readsConn bool
	// deadline is the time until which the handler may read the body, zero for no limit.
	deadline time.Time
	// idle holds a value while no goroutine reads the connection.
	idle   chan struct{}
	closed bool
	// whole is set once the whole body has been read, and ended is closed then.
	whole atomic.Bool
	ended chan struct{}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	<-b.idle
	defer func() { b.idle <- struct{}{} }()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.expectsContinue.CompareAndSwap(true, false) {
		close(b.wanted)
		<-b.unwatched
		b.begin()
		if err := b.exchange.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) && !b.whole.Load() {
		b.leaveConn()
		if ended(b.exchange.conn.raw) {
			b.exchange.conn.cancel()
		}
		b.whole.Store(true)
		close(b.ended)
	}
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}

// begin makes the connection be read for the body.
func (b *requestBody) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readsConn = true
	_ = b.exchange.conn.raw.SetReadDeadline(b.deadline)
}

// leaveConn leaves the connection to the next request.
func (b *requestBody) leaveConn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readsConn = false
	_ = b.exchange.conn.raw.SetReadDeadline(time.Time{})
}

// setDeadline sets the time until which the body can be read, now or once that begins. It may
// be called while another goroutine reads the body.
func (b *requestBody) setDeadline(until time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = until
	if !b.readsConn {
		return nil
	}
	if err := b.exchange.conn.raw.SetReadDeadline(until); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// end makes later calls of Read fail.
func (b *requestBody) end() {
	<-b.idle
	b.closed = true
	b.idle <- struct{}{}
}

// Close implements io.Closer. The server closes the body itself.
func (b *requestBody) Close() error { return nil }

// complete reports whether the whole body has been read.
func (b *requestBody) complete() bool { return b.whole.Load() }
