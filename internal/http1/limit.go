package http1

import (
	"fmt"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes is the maximum size of the head of a message.
	maxHeadBytes = 64 << 10
	// maxInterim is the maximum number of interim responses to a request.
	maxInterim = 8
	// maxSkipped is the maximum number of responses to other requests that are
	// skipped before the response to a request.
	maxSkipped = 4
)

// errHeadTooLarge means that the head of a message exceeds maxHeadBytes.
var errHeadTooLarge = eris.New("head too large")

// headReader limits the number of bytes that are read for the head of a message. Bodies
// are limited by those who read them.
type headReader struct {
	src io.Reader
	// remaining is the number of bytes that may still be read, of limit.
	remaining, limit int64
}

// beginHead limits the bytes that are read from now on. buffered is the number of bytes
// of the head that have already been read.
func (h *headReader) beginHead(buffered int, limit int64) {
	h.remaining, h.limit = limit-int64(buffered), limit
}

// endHead removes the limit.
func (h *headReader) endHead() { h.remaining = math.MaxInt64 }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, fmt.Errorf("%w: limit %d bytes", errHeadTooLarge, h.limit)
	}
	if int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.src.Read(p)
	h.remaining -= int64(n)
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}
