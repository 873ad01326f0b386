package peerquic

import "errors"

var (
	// ErrUnreachable says that no connection could be made, so nothing was
	// sent.
	ErrUnreachable = errors.New("daemon cannot be reached")
	// ErrIdentity says that the other side has another slot's certificate.
	ErrIdentity = errors.New("certificate is of another slot")
	// ErrMessage says that a message is too large or has no content.
	ErrMessage = errors.New("message is not valid")
)
