package daemon

import (
	"bytes"
	"fmt"
	"io"
)

// maxReplayBytes is the maximum length of a body that is buffered for retries.
const maxReplayBytes = 64 << 10

// payload is the body of a request. A body of up to maxReplayBytes is buffered
// completely, so that it can be sent to several backend servers in turn. Of a
// larger one at most the prefix is read before a gate has admitted the request.
// A payload is not safe for concurrent use.
type payload struct {
	prefix   []byte
	complete bool
	rest     io.Reader
	length   int64
	consumed bool
}

// readPayload reads the start of a body of length bytes, or -1 if unknown.
func readPayload(body io.Reader, length int64) (*payload, error) {
	if body == nil || length == 0 {
		return &payload{complete: true}, nil
	}
	if length > maxReplayBytes {
		return &payload{rest: body, length: length}, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(body, maxReplayBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if length > 0 && int64(len(prefix)) != length {
		return nil, fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
	}
	if len(prefix) <= maxReplayBytes {
		return &payload{prefix: prefix, complete: true, length: int64(len(prefix))}, nil
	}
	return &payload{prefix: prefix, rest: body, length: length}, nil
}

// replayable reports whether the body can still be sent from its start.
func (p *payload) replayable() bool { return p.complete || !p.consumed }

// reader returns the complete body. It marks a body that is not buffered as
// consumed.
func (p *payload) reader() io.Reader {
	if p.complete {
		return bytes.NewReader(p.prefix)
	}
	p.consumed = true
	return io.MultiReader(bytes.NewReader(p.prefix), p.rest)
}
