package wirecheck_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/lycheehead/lycheehead/internal/wirecheck"
)

// checkedReader passes a stream on as a connection does.
type checkedReader struct {
	checker wirecheck.Checker
	rest    []byte
}

// Read implements io.Reader. It reads one byte at a time, so that nothing is read ahead.
func (r *checkedReader) Read(p []byte) (int, error) {
	switch {
	case r.checker.Err() != nil:
		return 0, r.checker.Err()
	case len(r.rest) == 0:
		return 0, io.EOF
	case len(p) == 0:
		return 0, nil
	}
	n, err := r.checker.Check(r.rest[:1])
	if n == 0 {
		return 0, err
	}
	p[0], r.rest = r.rest[0], r.rest[1:]
	return 1, nil
}

// FuzzChecker guards against a check that finds the end of a message elsewhere than net/http: the
// bytes behind a message must be checked as the beginning of another one.
func FuzzChecker(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.0 200\nX: 1\ncontent-length:\t4 \n\nbody",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n4;a=b\r\nbody\r\n0A \r\n0123456789\r\n0\r\nSum: 1\r\n\r\n",
	} {
		f.Add([]byte(head), false)
		f.Add([]byte(head), true)
	}
	f.Fuzz(func(t *testing.T, stream []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		r := &checkedReader{rest: append(bytes.Clone(stream), "behind"...)}
		r.checker.Begin(method)
		resp, err := http.ReadResponse(bufio.NewReader(r), &http.Request{Method: method})
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || r.checker.UntilClose() {
			return
		}
		// A first byte is passed on even if it is malformed, and only a first byte.
		if n, err := r.checker.Check([]byte{0}); n != 1 || err == nil {
			t.Errorf("%q, %s: the byte before %q is not the last one of the message", stream, method, r.rest)
		}
	})
}
