package daemon

import (
	"bytes"
	"fmt"
	"io"
)

// keepMost is how many bytes of a body are kept to be sent again.
const keepMost = 64 << 10

// payload is a request's body. A small one is kept whole, so that it can be
// sent to one backend server after the other; of a large one only the start is
// read before a gate has admitted the request.
type payload struct {
	start  []byte
	whole  bool
	rest   io.Reader
	length int64
	used   bool
}

// readPayload reads the start of a body of length bytes, -1 if not known.
func readPayload(body io.Reader, length int64) (*payload, error) {
	if body == nil || length == 0 {
		return &payload{whole: true}, nil
	}
	if length > keepMost {
		return &payload{rest: body, length: length}, nil
	}
	start, err := io.ReadAll(io.LimitReader(body, keepMost+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if length > 0 && int64(len(start)) != length {
		return nil, fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
	}
	if len(start) <= keepMost {
		return &payload{start: start, whole: true, length: int64(len(start))}, nil
	}
	return &payload{start: start, rest: body, length: length}, nil
}

// again says whether the body can be sent once more.
func (p *payload) again() bool { return p.whole || !p.used }

// reader returns the body from its start. Of a large body it marks the rest as
// used.
func (p *payload) reader() io.Reader {
	if p.whole {
		return bytes.NewReader(p.start)
	}
	p.used = true
	return io.MultiReader(bytes.NewReader(p.start), p.rest)
}
