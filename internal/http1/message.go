package http1

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request to the server. Use NewRequest to create one. It is used for one
// call of Client.Do and must not be modified after that has begun.
type Request struct {
	method, target, host string
	header               http.Header
	// prefix and rest are the body. length is its size, -1 if unknown.
	prefix         []byte
	rest           io.Reader
	length         int64
	expectContinue bool
	onCommit       func() bool
	freshConnOnly  bool
	match          func(http.Header) Match
	onSkip         func(status int, h http.Header)
	closeAfter     func(status int, h http.Header) bool
}

// Match states whether a response belongs to a request.
type Match uint8

const (
	// Mismatch means that the response belongs to another request.
	Mismatch Match = iota
	// Unidentified means that the response does not say to which request it belongs. It is accepted
	// only on a connection that has carried no other request.
	Unidentified
	// Matched means that the response belongs to the request.
	Matched
)

// NewRequest returns a request without a body. target is the escaped path and query. host
// is the value of the Host field, which need not be the address that the client connects
// to. The header is not copied. Its fields that concern one connection are not sent, as the
// request has its own.
func NewRequest(method, target, host string, header http.Header) *Request {
	return &Request{method: method, target: target, host: host, header: header}
}

// SetBody sets the body, which consists of prefix followed by the content of rest. rest
// is nil if prefix is the whole body. length is the size of the body in bytes, or -1
// if unknown. If the response arrives before the whole body was sent, rest may still be
// read after Client.Do has returned.
func (r *Request) SetBody(prefix []byte, rest io.Reader, length int64) {
	r.prefix, r.rest, r.length = prefix, rest, length
}

// SetExpectContinue sends the header field "Expect: 100-continue" and withholds the
// body until the server asks for it.
func (r *Request) SetExpectContinue() { r.expectContinue = true }

// SetOnCommit sets a function that is called before the request reaches the point
// from which the server may execute it: before the body is sent if the body is
// withheld, else before the head. If it returns false, nothing further is sent.
func (r *Request) SetOnCommit(onCommit func() bool) { r.onCommit = onCommit }

// SetFreshConnOnly restricts the request to a new or recently used connection, as the
// server may have closed an idle one without the client having noticed yet.
func (r *Request) SetFreshConnOnly() { r.freshConnOnly = true }

// SetResponseMatcher sets the function that reports by the header of a response whether it
// belongs to this request. A response that does not is skipped.
func (r *Request) SetResponseMatcher(match func(http.Header) Match) { r.match = match }

// SetOnSkip sets a function that is called with each final response that is skipped.
func (r *Request) SetOnSkip(onSkip func(status int, h http.Header)) { r.onSkip = onSkip }

// SetCloseAfter sets the function that reports whether a response ends its connection, so
// that a second copy of it cannot be taken for the response to a later request.
func (r *Request) SetCloseAfter(closeAfter func(status int, h http.Header) bool) {
	r.closeAfter = closeAfter
}

func (r *Request) hasBody() bool { return r.length != 0 }

// writeHead writes the request line and the header fields.
func (r *Request) writeHead(w *bufio.Writer) error {
	_, _ = w.WriteString(r.method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.host)
	_, _ = w.WriteString("\r\n")
	if err := r.header.WriteSubset(w, connectionFields); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	switch {
	case r.length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.length > 0 || expectsBody(r.method):
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.length, 10) + "\r\n")
	}
	if r.expectContinue && r.hasBody() {
		_, _ = w.WriteString("Expect: 100-continue\r\n")
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	return nil
}

// expectsBody reports whether the method is normally used with a body. Requests with
// such a method declare the length of an empty body, too.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// commit calls the function set with SetOnCommit.
func (r *Request) commit() bool { return r.onCommit == nil || r.onCommit() }

// writeBody writes the body. It returns ErrRequestBody if reading the body failed.
func (r *Request) writeBody(w *bufio.Writer) error {
	if r.length < 0 {
		return r.writeChunks(w)
	}
	if _, err := w.Write(r.prefix); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	if r.rest != nil {
		if err := r.copyRest(w); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	return nil
}

// copyRest copies rest up to the declared length, and fails if it is shorter.
func (r *Request) copyRest(w io.Writer) error {
	want := r.length - int64(len(r.prefix))
	src := &sourceReader{src: io.LimitReader(r.rest, want)}
	n, err := io.Copy(w, src)
	switch {
	case src.err != nil:
		return fmt.Errorf("write body: %w: %w", ErrRequestBody, src.err)
	case err != nil:
		return fmt.Errorf("write body: %w", err)
	case n < want:
		return fmt.Errorf("write body: %w: %w", ErrRequestBody, io.ErrUnexpectedEOF)
	}
	return nil
}

// writeChunks writes the body with chunked transfer encoding.
func (r *Request) writeChunks(w *bufio.Writer) error {
	cw := chunkWriter{w: w}
	if len(r.prefix) > 0 {
		if _, err := cw.Write(r.prefix); err != nil {
			return fmt.Errorf("write body: %w", err)
		}
	}
	if r.rest != nil {
		src := &sourceReader{src: r.rest}
		if _, err := io.Copy(cw, src); err != nil {
			if src.err != nil {
				return fmt.Errorf("write body: %w: %w", ErrRequestBody, src.err)
			}
			return fmt.Errorf("write body: %w", err)
		}
	}
	_, _ = w.WriteString("0\r\n\r\n")
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	return nil
}

// sourceReader records the read error of a body, to distinguish it from an error of
// the connection.
type sourceReader struct {
	src io.Reader
	err error
}

// Read implements io.Reader.
func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.src.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		s.err = err
	}
	return n, err //nolint:wrapcheck // io.Copy compares errors
}

// chunkWriter encodes each write as a chunk.
type chunkWriter struct {
	w *bufio.Writer
}

// Write implements io.Writer.
func (c chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	_, _ = c.w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	_, _ = c.w.Write(p)
	if _, err := c.w.WriteString("\r\n"); err != nil {
		return 0, fmt.Errorf("write chunk: %w", err)
	}
	return len(p), nil
}

// Response is a response whose body has been received completely.
type Response struct {
	status int
	header http.Header
	body   []byte
	lease  *Lease
	// toHead states that the request had the method HEAD, and length is the size that the body
	// would have with GET, -1 if unknown.
	toHead bool
	length int64
}

// Release returns the memory of the body to the client's budget. The body must not be used
// afterwards. It may be called more than once.
func (r *Response) Release() { r.lease.Release() }

// Lease returns the memory that the body takes from the client's budget, for callers that
// keep the body and not the response.
func (r *Response) Lease() *Lease { return r.lease }

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Header returns the header fields. The caller may modify them.
func (r *Response) Header() http.Header { return r.header }

// DropConnectionFields deletes the header fields that concern only the connection, as the function
// of that name does. The length in a response to HEAD concerns the body that GET would have. It is
// kept, or a nil entry says that it is unknown.
func (r *Response) DropConnectionFields() {
	DropConnectionFields(r.header)
	if !r.toHead {
		return
	}
	r.header["Content-Length"] = nil
	if r.length >= 0 {
		r.header["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
}

// Body returns the body. The caller may modify it.
func (r *Response) Body() []byte { return r.body }

// parseKeepAlive returns the timeout in the Keep-Alive header field, zero if there is
// none.
func parseKeepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
