package http1

import (
	"bytes"
	"fmt"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes is the maximum size of the head of a message.
	maxHeadBytes = 64 << 10
	// maxHeadLines is the maximum number of lines of a head. Short lines take many times
	// their size in memory once they are parsed.
	maxHeadLines = 512
	// maxInterim is the maximum number of interim responses to a request.
	maxInterim = 8
	// maxSkipped is the maximum number of responses to other requests that are
	// skipped before the response to a request.
	maxSkipped = 4
)

// errHeadTooLarge means that the head of a message exceeds the limit for its bytes or
// maxHeadLines.
var errHeadTooLarge = eris.New("head too large")

// headReader limits the bytes and the lines that are read for the head of a message. Bodies
// are limited by those who read them. What is read together with the end of a head may
// exceed the limit for lines.
type headReader struct {
	src io.Reader
	// remaining is the number of bytes that may still be read, of limit.
	remaining, limit int64
	// inHead states that a head is being read, and lines is the number of its lines so far.
	inHead bool
	lines  int
}

// beginHead limits the bytes that are read from now on. buffered is the number of bytes
// of the head that have already been read.
func (h *headReader) beginHead(buffered int, limit int64) {
	h.remaining, h.limit = limit-int64(buffered), limit
	h.inHead, h.lines = true, 0
}

// endHead removes the limits.
func (h *headReader) endHead() { h.remaining, h.inHead = math.MaxInt64, false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, fmt.Errorf("%w: limit %d bytes", errHeadTooLarge, h.limit)
	}
	if h.inHead && h.lines > maxHeadLines {
		return 0, fmt.Errorf("%w: limit %d lines", errHeadTooLarge, maxHeadLines)
	}
	if int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.src.Read(p)
	h.remaining -= int64(n)
	if h.inHead {
		h.lines += bytes.Count(p[:n], []byte{'\n'})
	}
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}
