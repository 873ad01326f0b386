package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lycheehead/lycheehead/internal/wirecheck"
)

// bufferBytes is the size of each buffer of a connection.
const bufferBytes = 4 << 10

// conn is a connection to the server. It is used by one request at a time.
type conn struct {
	*wirecheck.Conn
	head   *headReader
	budget *Budget
	// r and w are nil while the connection is idle.
	r *bufio.Reader
	w *bufio.Writer
	// written counts the bytes written to the connection.
	written   *countingWriter
	idleSince time.Time
	// keepAlive is the server's timeout for idle connections, zero if unknown.
	keepAlive time.Duration
	// requests is the number of requests that the connection has carried.
	requests int
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	w io.Writer
	n int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err //nolint:wrapcheck // wrapped by the caller
}

func newConn(raw net.Conn, b *Budget) *conn {
	c := wirecheck.NewConn(raw)
	written := &countingWriter{w: c}
	head := &headReader{src: c}
	return &conn{
		Conn:    c,
		head:    head,
		budget:  b,
		written: written,
	}
}

// readers and writers hold the buffers that no connection uses.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// attachBuffers gives the connection buffers for an exchange.
func (c *conn) attachBuffers() {
	c.r, _ = readers.Get().(*bufio.Reader)
	c.w, _ = writers.Get().(*bufio.Writer)
	c.r.Reset(c.head)
	c.w.Reset(c.written)
}

// detachBuffers takes the buffers from a connection that becomes idle, on which nothing is
// left unread or unsent. Other connections keep theirs, as they may still be in use.
func (c *conn) detachBuffers() {
	c.r.Reset(nil)
	c.w.Reset(nil)
	readers.Put(c.r)
	writers.Put(c.w)
	c.r, c.w = nil, nil
}

// healthy reports whether an idle connection is open and has nothing to read, as
// unsolicited bytes belong to no request. It may be called while another goroutine
// uses the connection.
func (c *conn) healthy() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		_, healthy = peek(fd)
		return true
	})
	return err == nil && healthy
}

// exchange sends a request and reads the response. reusable reports whether the
// connection can be used for another request.
func (c *conn) exchange(ctx context.Context, r *Request) (resp *Response, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.requests++
	c.Begin(r.method)
	withheld := r.expectContinue && r.hasBody()
	if !withheld && !r.commit() {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, errNotCommitted)
	}
	before := c.written.n
	if err := c.sendHead(r); err != nil {
		if c.written.n == before {
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, false, fmt.Errorf("%w: %w", ErrResponseLost, err)
	}
	bodySent := make(chan error, 1)
	if withheld {
		resp, err := c.awaitContinue(r)
		if err != nil {
			// The server cannot have executed the request without its body.
			return nil, false, fmt.Errorf("%w: %w", ErrBodyNotRequested, err)
		}
		if resp != nil {
			return resp, false, nil
		}
		if !r.commit() {
			return nil, false, fmt.Errorf("%w: %w", ErrBodyNotRequested, errNotCommitted)
		}
	}
	small := r.rest == nil && len(r.prefix) <= bufferBytes
	if r.hasBody() && !small {
		c.Sending()
		go func() {
			err := r.writeBody(c.w)
			c.Sent(err)
			bodySent <- err
		}()
	} else {
		c.Sending()
		err := c.sendSmallBody(r)
		c.Sent(err)
		if err != nil && c.written.n == before {
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		bodySent <- err
	}
	resp, clean, err := c.readResponse(r)
	if err != nil {
		return nil, false, c.responseError(bodySent, err)
	}
	reusable = clean && c.endBody(r, bodySent)
	return resp, reusable && stop(), nil
}

// endBody reports whether the whole body of a request has been sent when the response has been
// read. The connection cannot be reused otherwise, as the rest of the body would be sent on it.
func (c *conn) endBody(r *Request, sent <-chan error) bool {
	if r.rest == nil {
		// The goroutine that sends the body may not have said yet that it is done. If it is
		// not, its next write fails.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
		return <-sent == nil
	}
	select {
	case err := <-sent:
		return err == nil
	default:
		return false
	}
}

// sendHead sends the head of a request. If a small body follows at once, the head
// stays buffered to be sent together with it.
func (c *conn) sendHead(r *Request) error {
	if err := r.writeHead(c.w); err != nil {
		return err
	}
	if r.hasBody() && !r.expectContinue && r.rest == nil && len(r.prefix) <= bufferBytes {
		return nil
	}
	if err := c.w.Flush(); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	return nil
}

func (c *conn) sendSmallBody(r *Request) error {
	if !r.hasBody() {
		return nil
	}
	return r.writeBody(c.w)
}

// responseError returns the error for a response that could not be read. If the body of
// the request could not be read from its source, that is the cause, not the connection.
func (c *conn) responseError(bodySent <-chan error, err error) error {
	select {
	case e := <-bodySent:
		if errors.Is(e, ErrRequestBody) {
			return fmt.Errorf("%w: %w", ErrResponseLost, e)
		}
	default:
	}
	return err
}

// awaitContinue waits until the server asks for the body, and returns nil. If the
// server sends a final response instead, it returns that.
func (c *conn) awaitContinue(r *Request) (*Response, error) {
	for range maxInterim {
		resp, err := c.readHead(r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusContinue {
			return nil, nil //nolint:nilnil // neither a final response nor an error
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		out, _, err := c.readBody(resp)
		return out, err
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", ErrResponseLost, maxInterim)
}

// readResponse reads the response to a request, skipping interim responses and
// responses to other requests. clean reports whether the response was the only one
// and the server keeps the connection open.
func (c *conn) readResponse(r *Request) (resp *Response, clean bool, err error) {
	clean = true
	interim, skipped := 0, 0
	// held is the response that has been read and not been returned. A function of the request that
	// panics must not keep its memory.
	var held *Response
	defer func() {
		if held != nil {
			held.Release()
		}
	}()
	for interim <= maxInterim && skipped <= maxSkipped {
		head, err := c.readHead(r)
		if err != nil {
			return nil, false, err
		}
		if head.StatusCode < http.StatusOK {
			interim++
			continue
		}
		out, keep, err := c.readBody(head)
		if err != nil {
			return nil, false, err
		}
		held = out
		clean = clean && keep
		if !c.belongs(r, head) {
			if r.onSkip != nil {
				r.onSkip(head.StatusCode, head.Header)
			}
			if !keep {
				out.Release()
				return nil, false, fmt.Errorf("%w: response to another request", ErrResponseLost)
			}
			out.Release()
			clean = false
			skipped++
			continue
		}
		if r.closeAfter != nil && r.closeAfter(head.StatusCode, head.Header) {
			clean = false
		}
		held = nil
		// Bytes after the response belong to no request.
		return out, clean && c.r.Buffered() == 0, nil
	}
	return nil, false, fmt.Errorf("%w: %d interim responses (limit %d) and %d responses to other requests (limit %d)",
		ErrResponseLost, interim, maxInterim, skipped, maxSkipped)
}

// belongs reports whether a response belongs to a request.
func (c *conn) belongs(r *Request, head *http.Response) bool {
	if r.match == nil {
		return true
	}
	m := r.match(head.Header)
	return m == Matched || m == Unidentified && c.requests == 1
}

func (c *conn) readHead(r *Request) (*http.Response, error) {
	c.head.beginHead(c.r.Buffered(), maxHeadBytes)
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	c.head.endHead()
	if err != nil {
		return nil, fmt.Errorf("%w: read response: %w", ErrResponseLost, err)
	}
	return resp, nil
}

// readBody reads the body of a response. keep reports whether the server keeps the
// connection open afterwards.
func (c *conn) readBody(head *http.Response) (resp *Response, keep bool, err error) {
	length := head.ContentLength
	if head.Request.Method == http.MethodHead {
		length = 0
	}
	body, lease, err := c.budget.ReadBody(head.Body, length, c.budget.bodyLimit(), func() { _ = c.Close() })
	if err != nil {
		return nil, false, fmt.Errorf("%w: read body: %w", ErrResponseLost, err)
	}
	c.keepAlive = parseKeepAlive(head.Header)
	out := &Response{status: head.StatusCode, header: head.Header, body: body, lease: lease, length: head.ContentLength}
	out.toHead = head.Request.Method == http.MethodHead
	return out, !head.Close, nil
}
