package http1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// maxBufferedResponse is the number of bytes of a response body that are held until
	// the responses before it have been sent. maxBufferedTotal limits them for all responses
	// of a server: beyond it, handlers wait for their turn.
	maxBufferedResponse = 64 << 10
	maxBufferedTotal    = 16 << 20
	// responseWriteTimeout is how long a client may take to receive a part of a
	// response.
	responseWriteTimeout = 30 * time.Second
	// maxDiscardedBody is the number of bytes of a request body that are read and
	// ignored after its response is known, and discardTimeout the time for that.
	maxDiscardedBody = 256 << 10
	discardTimeout   = 200 * time.Millisecond
)

var errShortResponse = eris.New("response shorter than its declared length")

// exchange is a request of a client and its response. It implements http.ResponseWriter
// and http.Flusher for the handler.
type exchange struct {
	conn    *serverConn
	request *http.Request
	body    *requestBody
	header  http.Header
	status  int
	// number counts the requests of the connection.
	number uint64
	// alone states that the request may not run beside others of the connection.
	alone bool
	// previous is closed once the request before this one has been answered, nil if
	// there is none.
	previous <-chan struct{}
	// done is closed once this request has been answered, or failed.
	done chan struct{}
	// pending holds the bytes of the body that have not been sent.
	pending []byte
	// length is the declared size of the body, or -1. written counts its bytes.
	length, written int64
	// headSent is set once the head of the response has been sent, and chunked if the
	// body is chunked.
	headSent, chunked bool
	// endsWithConn is set if the end of the connection is the end of the body.
	endsWithConn bool
	err          error
}

func newExchange(c *serverConn, req *http.Request, f bodyFraming) *exchange {
	e := &exchange{conn: c, header: make(http.Header), done: make(chan struct{}), length: -1, request: req}
	req.RemoteAddr = c.raw.RemoteAddr().String()
	req.Body = http.NoBody
	if f.chunked || f.length > 0 {
		e.body = &requestBody{
			exchange: e, src: newBodyReader(c.r, f), ended: make(chan struct{}),
			idle: make(chan struct{}, 1), wanted: make(chan struct{}), unwatched: make(chan struct{}),
		}
		expects := strings.EqualFold(req.Header.Get("Expect"), "100-continue")
		e.body.mu, e.body.readsConn = lock.New(lock.Connections), !expects
		e.body.expectsContinue.Store(expects)
		e.body.idle <- struct{}{}
		req.Body = e.body
	}
	return e
}

// run calls the handler and completes the response. A process that was too busy to read may
// find a request and the end of its connection at the same time. The handler is not called then.
func (e *exchange) run() {
	ctx, cancel := context.WithCancel(e.conn.ctx)
	defer cancel()
	if ended(e.conn.raw) || !e.conn.runHandler(e, e.request.WithContext(ctx)) {
		e.err = http.ErrAbortHandler
	}
	e.finish()
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter. Interim responses are not sent.
func (e *exchange) WriteHeader(status int) {
	if e.status != 0 || status < http.StatusOK {
		return
	}
	e.status = status
	if text := e.header.Get("Content-Length"); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			e.length = n
		} else {
			e.header.Del("Content-Length")
		}
	}
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	switch {
	case e.err != nil:
		return 0, e.err
	case !bodyAllowed(e.status):
		return 0, http.ErrBodyNotAllowed
	case e.length >= 0 && e.written+int64(len(p)) > e.length:
		return 0, http.ErrContentLength
	}
	e.written += int64(len(p))
	if e.request.Method == http.MethodHead {
		return len(p), nil
	}
	if !e.headSent && len(e.pending)+len(p) <= maxBufferedResponse && e.conn.server.reserve(len(p)) {
		e.pending = append(e.pending, p...)
		return len(p), nil
	}
	if err := e.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Flush implements http.Flusher. It waits until the responses before this one have been
// sent.
func (e *exchange) Flush() {
	e.WriteHeader(http.StatusOK)
	if e.err == nil {
		_ = e.send(nil)
	}
}

// SetReadDeadline sets the time until which the body can be read, for
// http.ResponseController.
func (e *exchange) SetReadDeadline(until time.Time) error {
	if e.body == nil {
		return nil
	}
	return e.body.setDeadline(until)
}

// bodyAllowed reports whether a response with a status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// awaitTurn waits until the responses before this one have been sent.
func (e *exchange) awaitTurn() error {
	if e.previous == nil {
		return nil
	}
	select {
	case <-e.previous:
		return nil
	case <-e.conn.ctx.Done():
		return fmt.Errorf("await previous response: %w", e.conn.ctx.Err())
	}
}

// writeContinue asks the client for the body of the request. A request with a body runs
// alone, so no response is being sent.
func (e *exchange) writeContinue() error {
	if _, err := e.conn.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
		return fmt.Errorf("ask for body: %w", err)
	}
	return nil
}

// send sends the head, if it has not been sent, and the pending bytes and p.
func (e *exchange) send(p []byte) error {
	if e.err != nil {
		return e.err
	}
	if e.err = e.awaitTurn(); e.err != nil {
		return e.err
	}
	var out net.Buffers
	if !e.headSent {
		e.headSent = true
		out = append(out, e.encodeHead(false))
	}
	out = e.appendBody(e.appendBody(out, e.pending), p)
	err := e.write(out)
	e.dropPending()
	return err
}

// dropPending gives the memory of the pending bytes back.
func (e *exchange) dropPending() {
	e.conn.server.buffered.Add(-int64(len(e.pending)))
	e.pending = nil
}

func (e *exchange) appendBody(out net.Buffers, p []byte) net.Buffers {
	if len(p) == 0 || e.request.Method == http.MethodHead {
		return out
	}
	if !e.chunked {
		return append(out, p)
	}
	return append(out, []byte(strconv.FormatInt(int64(len(p)), 16)+"\r\n"), p, []byte("\r\n"))
}

func (e *exchange) write(out net.Buffers) error {
	if len(out) == 0 {
		return nil
	}
	if e.err = e.conn.raw.SetWriteDeadline(time.Now().Add(responseWriteTimeout)); e.err != nil {
		return e.err
	}
	if _, err := out.WriteTo(e.conn.raw); err != nil {
		e.err = fmt.Errorf("write response: %w", err)
	}
	return e.err
}

// encodeHead returns the status line and the header fields. complete states that the
// whole body is pending.
func (e *exchange) encodeHead(complete bool) []byte {
	h := e.header
	closeAfter := e.closesConnection()
	h.Del("Connection")
	h.Del("Transfer-Encoding")
	switch {
	case !bodyAllowed(e.status):
		h.Del("Content-Length")
	case e.length >= 0:
	case complete && e.request.Method != http.MethodHead:
		e.length = e.written
		h.Set("Content-Length", strconv.FormatInt(e.written, 10))
	case e.request.Method == http.MethodHead:
	case e.request.ProtoAtLeast(1, 1):
		e.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		closeAfter = true
		// The end of the connection is the end of the body. Until that is complete, the
		// response must not look as if it were.
		e.endsWithConn = true
		e.setReset(true)
	}
	switch {
	case e.conn.lastResponse(e, closeAfter):
		h.Set("Connection", "close")
	case !e.request.ProtoAtLeast(1, 1):
		h.Set("Connection", "keep-alive")
	}
	if h["Date"] == nil {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString("HTTP/1.1 ")
	head.WriteString(strconv.Itoa(e.status))
	head.WriteByte(' ')
	head.WriteString(http.StatusText(e.status))
	head.WriteString("\r\n")
	_ = h.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}

// closesConnection reports whether the connection cannot be used after the response.
func (e *exchange) closesConnection() bool {
	return e.announcesClose() || e.body != nil && !e.body.complete()
}

// announcesClose reports whether the handler ends the connection.
func (e *exchange) announcesClose() bool {
	return httpguts.HeaderValuesContainsToken(e.header["Connection"], "close")
}

// finish completes the response and lets the next one be sent. If the response cannot be
// completed, it closes the connection, so that the client does not take it for a complete
// one.
func (e *exchange) finish() {
	if e.err == nil {
		e.discardBody()
		e.WriteHeader(http.StatusOK)
		if e.closesConnection() {
			// Requests that arrive from now on are not accepted.
			e.conn.lastResponse(e, true)
		}
		e.err = e.complete()
	}
	e.dropPending()
	if e.err != nil {
		// The responses before this one are not affected.
		_ = e.awaitTurn()
		_ = e.conn.raw.Close()
	}
	// The reader of the connection is woken by a time limit once done is closed. The limit of an idle
	// connection must be set before, as it would hide that one.
	e.conn.finish(e)
	close(e.done)
}

// setReset sets whether the connection is reset when it is closed, also by the end of the
// process.
func (e *exchange) setReset(reset bool) {
	if tcp, ok := e.conn.raw.(*net.TCPConn); ok {
		if reset {
			_ = tcp.SetLinger(0)
		} else {
			_ = tcp.SetLinger(-1)
		}
	}
}

// complete sends what has not been sent of the response.
func (e *exchange) complete() error {
	if err := e.awaitTurn(); err != nil {
		return err
	}
	var out net.Buffers
	if !e.headSent {
		e.headSent = true
		head := e.encodeHead(true)
		if e.request.Method != http.MethodHead {
			head = append(head, e.pending...)
		}
		out = net.Buffers{head}
	}
	if e.chunked {
		out = append(out, []byte("0\r\n\r\n"))
	}
	if err := e.write(out); err != nil {
		return err
	}
	if e.length >= 0 && e.written < e.length && e.request.Method != http.MethodHead && bodyAllowed(e.status) {
		return errShortResponse
	}
	if e.endsWithConn {
		e.setReset(false)
	}
	return nil
}

// discardBody ends the reading of the request body. It reads what is left of a small
// one, so that the connection can be used again. If the connection is to end, the response
// does not wait for the body.
func (e *exchange) discardBody() {
	b := e.body
	if b == nil || b.complete() {
		return
	}
	deadline := time.Now()
	select {
	case <-b.idle:
		if b.expectsContinue.CompareAndSwap(true, false) {
			close(b.wanted)
		} else if !e.conn.ending() && !e.announcesClose() {
			deadline = deadline.Add(discardTimeout)
		}
		b.idle <- struct{}{}
	default:
	}
	// Another goroutine may still be reading the body, which ends at the deadline.
	_ = b.setDeadline(deadline)
	if deadline.After(time.Now()) {
		_, _ = io.CopyN(io.Discard, b, maxDiscardedBody)
	}
	b.end()
}
