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
	// expectsContinue is set until the client has been asked for the body.
	expectsContinue bool
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
	if b.expectsContinue {
		b.expectsContinue = false
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
