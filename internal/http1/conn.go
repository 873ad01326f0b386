package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// bufferSize is the size in bytes of a connection's buffers.
const bufferSize = 4 << 10

// conn is one connection to a server. It belongs to one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// counted counts the bytes that were written.
	counted *countWriter
	idle    time.Time
	// keep is how long the server keeps the connection idle, zero if unknown.
	keep time.Duration
}

type countWriter struct {
	w io.Writer
	n int64
}

// Write implements io.Writer.
func (c *countWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err //nolint:wrapcheck // wrapped by the caller
}

func newConn(c net.Conn) *conn {
	counted := &countWriter{w: c}
	return &conn{
		Conn:    c,
		r:       bufio.NewReaderSize(c, bufferSize),
		w:       bufio.NewWriterSize(counted, bufferSize),
		counted: counted,
	}
}

// quiet says whether an idle connection is open and has nothing to read: bytes
// that come unasked belong to no request. It may be called while another
// goroutine uses the connection.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && (errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// exchange sends a request and reads its answer. reusable says whether the
// connection may serve another request.
func (c *conn) exchange(ctx context.Context, r *Request) (resp *Response, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if !r.await || !r.hasBody() {
		r.committed()
	}
	before := c.counted.n
	if err := c.sendHead(r); err != nil {
		if c.counted.n == before {
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, false, fmt.Errorf("%w: %w", ErrResponseLost, err)
	}
	sent := make(chan error, 1)
	if r.await && r.hasBody() {
		resp, err := c.awaitContinue(r)
		if err != nil {
			// Without its body the server cannot have run the request.
			return nil, false, fmt.Errorf("%w: %w", ErrBodyNotRequested, err)
		}
		if resp != nil {
			return resp, false, nil
		}
		r.committed()
	}
	small := r.rest == nil && len(r.start) <= bufferSize
	if r.hasBody() && !small {
		go func() { sent <- r.writeBody(c.w) }()
	} else {
		sent <- c.sendSmall(r)
	}
	resp, clean, err := c.receive(r)
	if err != nil {
		return nil, false, c.failed(sent, err)
	}
	select {
	case e := <-sent:
		reusable = clean && e == nil
	default:
		// The answer came before the body was sent: its rest is still due on
		// this connection.
	}
	return resp, reusable && stop(), nil
}

func (c *conn) sendHead(r *Request) error {
	if err := r.writeHead(c.w); err != nil {
		return err
	}
	if r.hasBody() && !r.await && r.rest == nil && len(r.start) <= bufferSize {
		return nil
	}
	if err := c.w.Flush(); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	return nil
}

func (c *conn) sendSmall(r *Request) error {
	if !r.hasBody() {
		return nil
	}
	return r.writeBody(c.w)
}

// failed tells a failure of the caller's body from one of the connection.
func (c *conn) failed(sent <-chan error, err error) error {
	select {
	case e := <-sent:
		if errors.Is(e, ErrRequestBody) {
			return fmt.Errorf("%w: %w", ErrResponseLost, e)
		}
	default:
	}
	return err
}

// awaitContinue waits for the server to ask for the body. It returns an answer
// that came instead.
func (c *conn) awaitContinue(r *Request) (*Response, error) {
	for {
		resp, err := c.readHead(r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusContinue {
			return nil, nil //nolint:nilnil // neither an answer nor a failure
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		out, _, err := c.finish(resp)
		return out, err
	}
}

// receive reads the answer, without others that come before it.
func (c *conn) receive(r *Request) (resp *Response, clean bool, err error) {
	clean = true
	for {
		head, err := c.readHead(r)
		if err != nil {
			return nil, false, err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		out, keep, err := c.finish(head)
		if err != nil {
			return nil, false, err
		}
		clean = clean && keep
		if r.match != nil && !r.match(head.Header) {
			if !keep {
				return nil, false, fmt.Errorf("%w: answer to another request", ErrResponseLost)
			}
			clean = false
			continue
		}
		// Bytes beyond the answer belong to no request.
		return out, clean && c.r.Buffered() == 0, nil
	}
}

func (c *conn) readHead(r *Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	if err != nil {
		return nil, fmt.Errorf("%w: read answer: %w", ErrResponseLost, err)
	}
	return resp, nil
}

// finish reads the body. keep says whether the connection outlives it.
func (c *conn) finish(head *http.Response) (resp *Response, keep bool, err error) {
	body, err := io.ReadAll(io.LimitReader(head.Body, answerMost+1))
	if err != nil {
		return nil, false, fmt.Errorf("%w: read body: %w", ErrResponseLost, err)
	}
	if len(body) > answerMost {
		return nil, false, fmt.Errorf("%w: %w", ErrResponseLost, ErrResponseTooLarge)
	}
	c.keep = keepAlive(head.Header)
	return &Response{status: head.StatusCode, header: head.Header, body: body}, !head.Close, nil
}
