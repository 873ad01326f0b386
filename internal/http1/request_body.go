package http1

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
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
	// deadline is the time until which the handler may read the body, nil for no limit.
	deadline atomic.Pointer[time.Time]
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
		var deadline time.Time
		if d := b.deadline.Load(); d != nil {
			deadline = *d
		}
		_ = b.exchange.conn.raw.SetReadDeadline(deadline)
		if err := b.exchange.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) && !b.whole.Load() {
		_ = b.exchange.conn.raw.SetReadDeadline(time.Time{})
		if ended(b.exchange.conn.raw) {
			b.exchange.conn.cancel()
		}
		b.whole.Store(true)
		close(b.ended)
	}
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
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
