package http1

import "github.com/rotisserie/eris"

var (
	// ErrNotSent says that nothing of a request was sent.
	ErrNotSent = eris.New("request was not sent")
	// ErrHeldBack says that the connection failed before the server asked for the
	// body of a request, which it cannot run without.
	ErrHeldBack = eris.New("body was held back")
	// ErrLost says that the connection failed after a part of the request was
	// sent, before its answer was whole.
	ErrLost = eris.New("answer was lost")
	// ErrDial says that no connection could be opened. The error is ErrNotSent
	// too.
	ErrDial = eris.New("cannot connect")
	// ErrBody says that the caller's body failed while it was sent.
	ErrBody = eris.New("body cannot be read")
	// ErrLarge says that an answer exceeds what is buffered.
	ErrLarge = eris.New("answer is too large")
)
