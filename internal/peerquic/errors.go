package peerquic

import "github.com/rotisserie/eris"

var (
	// ErrUnreachable says that no connection could be made, so nothing was
	// sent.
	ErrUnreachable = eris.New("daemon cannot be reached")
	// ErrWrongSlot says that the other side has another slot's certificate.
	ErrWrongSlot = eris.New("certificate is of another slot")
	// ErrInvalidMessage says that a message is too large or has no content.
	ErrInvalidMessage = eris.New("message is not valid")
)
