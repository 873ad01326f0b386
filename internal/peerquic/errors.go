package peerquic

import "github.com/rotisserie/eris"

var (
	// ErrUnreachable says that no connection could be made, so nothing was
	// sent.
	ErrUnreachable = eris.New("daemon cannot be reached")
	// ErrIdentity says that the other side has another slot's certificate.
	ErrIdentity = eris.New("certificate is of another slot")
	// ErrMessage says that a message is too large or has no content.
	ErrMessage = eris.New("message is not valid")
)
