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

// Request is what is sent to a server.
type Request struct {
	method, target, host string
	header               http.Header
	start                []byte
	rest                 io.Reader
	length               int64
	await                bool
	commit               func()
	fresh                bool
	match                func(http.Header) bool
}

// NewRequest returns a request without a body. target is the path and query as
// they are to be sent.
func NewRequest(method, target, host string, header http.Header) *Request {
	return &Request{method: method, target: target, host: host, header: header}
}

// SetBody sets the body: what is at hand of it, and the rest, or nil where the
// start is all. length is its size in bytes, or -1 where that is not known.
func (r *Request) SetBody(start []byte, rest io.Reader, length int64) {
	r.start, r.rest, r.length = start, rest, length
}

// SetExpectContinue has the body held back until the server asks for it.
func (r *Request) SetExpectContinue() { r.await = true }

// SetOnCommit has commit called before any byte is sent without which the server
// cannot run the request.
func (r *Request) SetOnCommit(commit func()) { r.commit = commit }

// SetFreshConnOnly has the request sent on a connection that was in use a moment ago or
// is new, since a server may have closed an idle one unseen.
func (r *Request) SetFreshConnOnly() { r.fresh = true }

// SetResponseMatcher sets how an answer is recognized. One that does not match belongs to
// another request and is skipped.
func (r *Request) SetResponseMatcher(match func(http.Header) bool) { r.match = match }

func (r *Request) hasBody() bool { return r.length != 0 }

// writeHead writes the request line and the header fields.
func (r *Request) writeHead(w *bufio.Writer) error {
	_, _ = w.WriteString(r.method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.host)
	_, _ = w.WriteString("\r\n")
	if err := r.header.Write(w); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	switch {
	case r.length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.length > 0 || takesBody(r.method):
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.length, 10) + "\r\n")
	}
	if r.await && r.hasBody() {
		_, _ = w.WriteString("Expect: 100-continue\r\n")
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	return nil
}

func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// committed tells that the request goes beyond recall.
func (r *Request) committed() {
	if r.commit != nil {
		r.commit()
	}
}

// writeBody writes the body. An error that is ErrBody comes from its source.
func (r *Request) writeBody(w *bufio.Writer) error {
	if r.length < 0 {
		return r.writeChunks(w)
	}
	if _, err := w.Write(r.start); err != nil {
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

// copyRest copies exactly what the length promises.
func (r *Request) copyRest(w io.Writer) error {
	want := r.length - int64(len(r.start))
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

func (r *Request) writeChunks(w *bufio.Writer) error {
	cw := chunkWriter{w: w}
	if len(r.start) > 0 {
		if _, err := cw.Write(r.start); err != nil {
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

// sourceReader keeps the error of a body's source, to tell it from the
// connection's.
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

// chunkWriter writes each piece as a chunk.
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

// Response is a server's answer with its whole body.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Header returns the header fields. The caller may change them.
func (r *Response) Header() http.Header { return r.header }

// Body returns the body.
func (r *Response) Body() []byte { return r.body }

// keepAlive returns how long the server keeps the connection idle, zero where
// it does not say.
func keepAlive(h http.Header) time.Duration {
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
