package http1

import (
	"errors"
	"fmt"
	"io"
)

// minBodyBuffer is the initial size of the buffer for a body of unknown size.
const minBodyBuffer = 4 << 10

// Lease is a part of a Budget that is held until Release.
type Lease struct {
	budget *Budget
	// abort ends the reading of the body, nil if it cannot be ended.
	abort func()
	// bytes and evicted are guarded by the budget's lock. evicted states that the body had
	// to give way while it was read.
	bytes   int64
	evicted bool
}

// Release returns the part to the budget. Calls after the first, and calls on nil, have no
// effect.
func (l *Lease) Release() {
	if l != nil {
		l.budget.release(l)
	}
}

// Lease takes n bytes, or returns ErrBodyTooLarge if there are not that many.
func (b *Budget) Lease(n int64) (*Lease, error) {
	l := &Lease{budget: b}
	if !b.grow(l, n) {
		return nil, fmt.Errorf("%w: no memory for %d bytes at present", ErrBodyTooLarge, n)
	}
	return l, nil
}

// ReadBody reads a body of at most limit bytes. length is its declared size, or -1. The
// memory is reserved as the body arrives, not as it is declared. abort makes r return an
// error at once; it is called if the body has to give way to smaller ones. If it is nil, the
// body does not give way. The error is ErrBodyTooLarge if the body exceeds the limit or the
// budget, and io.ErrUnexpectedEOF if it is shorter than declared.
func (b *Budget) ReadBody(r io.Reader, length, limit int64, abort func()) ([]byte, *Lease, error) {
	lease := &Lease{budget: b, abort: abort}
	data, err := readAll(r, length, limit, func(n int64) bool { return b.grow(lease, n) })
	if !b.readEnd(lease) {
		return nil, nil, fmt.Errorf("%w: it gave way to smaller ones", ErrBodyTooLarge)
	}
	if err != nil {
		lease.Release()
		return nil, nil, err
	}
	return data, lease, nil
}

// readAll reads a body into a buffer that it enlarges after reserve has permitted it.
func readAll(r io.Reader, length, limit int64, reserve func(n int64) bool) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes declared, limit %d", ErrBodyTooLarge, length, limit)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			next := nextCapacity(int64(cap(data)), length, limit)
			if next == int64(cap(data)) {
				return nil, fmt.Errorf("%w: more than %d bytes", ErrBodyTooLarge, limit)
			}
			if !reserve(next - int64(cap(data))) {
				return nil, fmt.Errorf("%w: no memory for more than %d bytes at present", ErrBodyTooLarge, cap(data))
			}
			grown := make([]byte, len(data), next)
			copy(grown, data)
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrBodyTooLarge, limit)
		}
		switch {
		case errors.Is(err, io.EOF) && length >= 0 && int64(len(data)) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err //nolint:wrapcheck // wrapped by the caller
		}
	}
}

// nextCapacity returns the next size of a buffer. One byte beyond the size of the body is
// needed to read its end. A declared size above 64 KiB is not trusted at once.
func nextCapacity(size, length, limit int64) int64 {
	const trusted = 64 << 10
	switch {
	case size == 0 && length >= 0:
		return min(length, trusted) + 1
	case size == 0:
		return min(minBodyBuffer, limit+1)
	case length >= 0:
		return min(4*size, length+1)
	}
	return min(2*size, limit+1)
}
