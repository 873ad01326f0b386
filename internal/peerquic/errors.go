package peerquic

import (
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

var (
	// ErrUnreachable means that no connection could be established, so the peer has
	// read nothing.
	ErrUnreachable = eris.New("daemon unreachable")
	// ErrStopping means that the daemon has announced that it stops and accepts no more
	// requests. An error that wraps it also wraps ErrUnreachable.
	ErrStopping = eris.New("daemon is stopping")
	// ErrWrongSlot means that the peer has the certificate of another slot.
	ErrWrongSlot = eris.New("certificate belongs to another slot")
	// ErrInvalidMessage means that a message is too large or empty, or that it is a reply which
	// is not the head of a valid response.
	ErrInvalidMessage = eris.New("invalid message")
	// ErrNotReading means that the peer reads no more of what is sent on a stream. It may have
	// answered before: a daemon that refuses a request does not read the rest of its body.
	ErrNotReading = eris.New("peer has stopped reading")
)

// withRefusal adds ErrUnreachable to an error if the peer refused the connection, which it does
// before it reads a stream. The connection may have been used before the refusal arrives.
func withRefusal(err error) error {
	var e *quic.TransportError
	if errors.As(err, &e) && e.Remote && e.ErrorCode == quic.ConnectionRefused {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return err
}
