package http1

import "github.com/rotisserie/eris"

var (
	// ErrNotSent says that nothing of a request was sent.
	ErrNotSent = eris.New("request was not sent")
	// ErrBodyNotRequested says that the connection failed before the server asked for the
	// body of a request, which it cannot run without.
	ErrBodyNotRequested = eris.New("body was held back")
	// ErrResponseLost says that the connection failed after a part of the request was
	// sent, before its answer was whole.
	ErrResponseLost = eris.New("answer was lost")
	// ErrDial says that no connection could be opened. The error is ErrNotSent
	// too.
	ErrDial = eris.New("cannot connect")
	// ErrRequestBody says that the caller's body failed while it was sent.
	ErrRequestBody = eris.New("body cannot be read")
	// ErrResponseTooLarge says that an answer exceeds what is buffered.
	ErrResponseTooLarge = eris.New("answer is too large")
)
