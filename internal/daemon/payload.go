package daemon

import (
	"bytes"
	"fmt"
	"io"
)

// maxReplayBytes is how many bytes of a body are kept to be sent again.
const maxReplayBytes = 64 << 10

// payload is a request's body. A small one is kept whole, so that it can be
// sent to one backend server after the other; of a large one only the start is
// read before a gate has admitted the request.
type payload struct {
	prefix   []byte
	complete bool
	rest     io.Reader
	length   int64
	consumed bool
}

// readPayload reads the start of a body of length bytes, -1 if not known.
func readPayload(body io.Reader, length int64) (*payload, error) {
	if body == nil || length == 0 {
		return &payload{complete: true}, nil
	}
	if length > maxReplayBytes {
		return &payload{rest: body, length: length}, nil
	}
	start, err := io.ReadAll(io.LimitReader(body, maxReplayBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if length > 0 && int64(len(start)) != length {
		return nil, fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
	}
	if len(start) <= maxReplayBytes {
		return &payload{prefix: start, complete: true, length: int64(len(start))}, nil
	}
	return &payload{prefix: start, rest: body, length: length}, nil
}

// replayable says whether the body can be sent once more.
func (p *payload) replayable() bool { return p.complete || !p.consumed }

// reader returns the body from its start. Of a large body it marks the rest as
// used.
func (p *payload) reader() io.Reader {
	if p.complete {
		return bytes.NewReader(p.prefix)
	}
	p.consumed = true
	return io.MultiReader(bytes.NewReader(p.prefix), p.rest)
}
