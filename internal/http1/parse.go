package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"net/url"
	"os"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxTrailerLines is the maximum number of lines after the last chunk of a body.
const maxTrailerLines = 64

// requestError is the reason why a request is rejected before it reaches the handler.
type requestError struct {
	status int
	text   string
}

// Error implements error.
func (e *requestError) Error() string { return e.text }

// errHeadTimeout means that the head of a request did not arrive in time.
var errHeadTimeout = &requestError{status: http.StatusRequestTimeout, text: "request head incomplete"}

func badRequest(format string, args ...any) error {
	return &requestError{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// bodyFraming is how the end of a request body is determined.
type bodyFraming struct {
	chunked bool
	// length is the size in bytes of a body that is not chunked.
	length int64
}

// parseHead reads the request line and the header fields of a request. Errors in the
// request are of type *requestError; others are those of the connection.
func parseHead(r *bufio.Reader) (*http.Request, bodyFraming, error) {
	var none bodyFraming
	line, err := readRequestLine(r)
	if err != nil {
		return nil, none, headError(err)
	}
	method, rest, ok := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !validToken(method) {
		return nil, none, badRequest("malformed request line")
	}
	major, minor, ok := http.ParseHTTPVersion(proto)
	if !ok {
		return nil, none, badRequest("malformed HTTP version")
	}
	if major != 1 {
		return nil, none, &requestError{status: http.StatusHTTPVersionNotSupported, text: "unsupported HTTP version"}
	}
	u, err := parseTarget(method, target)
	if err != nil {
		return nil, none, err
	}
	fields, err := textproto.NewReader(r).ReadMIMEHeader()
	if err != nil {
		return nil, none, headError(err)
	}
	req := &http.Request{
		Method: method, URL: u, Proto: proto, ProtoMajor: major, ProtoMinor: minor,
		Header: http.Header(fields), RequestURI: target,
	}
	if err := checkHeader(req); err != nil {
		return nil, none, err
	}
	framing, err := parseFraming(req)
	return req, framing, err
}

// readRequestLine reads the request line. It skips one empty line before it, which some
// clients send after a body.
func readRequestLine(r *bufio.Reader) (string, error) {
	for range 2 {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err //nolint:wrapcheck // classified by the caller
		}
		if line = strings.TrimRight(line, "\r\n"); line != "" {
			return line, nil
		}
	}
	return "", nil
}

// headError classifies an error of reading a head.
func headError(err error) error {
	var protocol textproto.ProtocolError
	switch {
	case errors.Is(err, errHeadTooLarge):
		return &requestError{status: http.StatusRequestHeaderFieldsTooLarge, text: err.Error()}
	case errors.As(err, &protocol):
		return badRequest("malformed header")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errHeadTimeout
	}
	return fmt.Errorf("read head: %w", err)
}

func validToken(s string) bool { return httpguts.ValidHeaderFieldName(s) }

func parseTarget(method, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "/") && !(target == "*" && method == http.MethodOptions) &&
		!strings.HasPrefix(target, "http://") && !strings.HasPrefix(target, "https://") {
		return nil, badRequest("unsupported request target")
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, badRequest("malformed request target")
	}
	return u, nil
}

// checkHeader validates the header fields and moves the host to req.Host.
func checkHeader(req *http.Request) error {
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return badRequest("malformed header field name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return badRequest("malformed header field value")
			}
		}
	}
	hosts := req.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && req.ProtoAtLeast(1, 1) {
		return badRequest("a request has one Host field")
	}
	if len(hosts) == 1 {
		req.Host = hosts[0]
	}
	if req.URL.Host != "" {
		req.Host = req.URL.Host
	}
	if !httpguts.ValidHostHeader(req.Host) {
		return badRequest("malformed Host field")
	}
	delete(req.Header, "Host")
	req.Close = req.ProtoAtLeast(1, 1) && httpguts.HeaderValuesContainsToken(req.Header["Connection"], "close") ||
		!req.ProtoAtLeast(1, 1) && !httpguts.HeaderValuesContainsToken(req.Header["Connection"], "keep-alive")
	return nil
}

// parseFraming determines the end of the body. It rejects requests whose length others may
// understand differently, as a part of their body could then be taken for a request.
func parseFraming(req *http.Request) (bodyFraming, error) {
	encodings, lengths := req.Header["Transfer-Encoding"], req.Header["Content-Length"]
	switch {
	case len(encodings) > 0 && len(lengths) > 0:
		return bodyFraming{}, badRequest("both Transfer-Encoding and Content-Length")
	case len(encodings) > 0:
		if len(encodings) != 1 || !strings.EqualFold(encodings[0], "chunked") || !req.ProtoAtLeast(1, 1) {
			return bodyFraming{}, &requestError{status: http.StatusNotImplemented, text: "unsupported transfer encoding"}
		}
		req.TransferEncoding = []string{"chunked"}
		req.ContentLength = -1
		delete(req.Header, "Transfer-Encoding")
		return bodyFraming{chunked: true}, nil
	case len(lengths) == 0:
		return bodyFraming{}, nil
	}
	for _, text := range lengths {
		if text != lengths[0] {
			return bodyFraming{}, badRequest("different Content-Length fields")
		}
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil {
		return bodyFraming{}, badRequest("malformed Content-Length")
	}
	req.ContentLength = int64(n)
	return bodyFraming{length: int64(n)}, nil
}

// newBodyReader returns a reader of a body that ends with io.EOF once the whole body has
// been read.
func newBodyReader(r *bufio.Reader, f bodyFraming) io.Reader {
	if f.chunked {
		return &chunkedBody{chunks: httputil.NewChunkedReader(r), src: r}
	}
	return &fixedBody{src: r, remaining: f.length}
}

// fixedBody reads a body of known size.
type fixedBody struct {
	src       io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.src.Read(p)
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // passed through
}

// chunkedBody reads a chunked body and skips its trailer.
type chunkedBody struct {
	chunks io.Reader
	src    *bufio.Reader
	ended  bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // passed through
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

func (b *chunkedBody) skipTrailer() error {
	for range maxTrailerLines {
		line, err := b.src.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return fmt.Errorf("read trailer: %w", err)
		}
		if strings.TrimRight(string(line), "\r\n") == "" {
			return nil
		}
	}
	return badRequest("trailer of more than %d lines", maxTrailerLines)
}
