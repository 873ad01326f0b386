package peerquic

import "github.com/rotisserie/eris"

var (
	// ErrUnreachable means that no connection could be established, so nothing
	// was sent.
	ErrUnreachable = eris.New("daemon unreachable")
	// ErrStopping means that the daemon has announced that it stops and accepts no more
	// requests. An error that wraps it also wraps ErrUnreachable.
	ErrStopping = eris.New("daemon is stopping")
	// ErrWrongSlot means that the peer has the certificate of another slot.
	ErrWrongSlot = eris.New("certificate belongs to another slot")
	// ErrInvalidMessage means that a message is too large or empty.
	ErrInvalidMessage = eris.New("invalid message")
)
