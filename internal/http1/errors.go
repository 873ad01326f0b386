package http1

import "github.com/rotisserie/eris"

var (
	// ErrNotSent means that no part of the request was sent.
	ErrNotSent = eris.New("request was not sent")
	// ErrBodyNotRequested means that no part of the body was sent, because the
	// connection failed before the server asked for it, or the request was given up.
	// Such an error may also wrap ErrResponseLost, so test for this one first.
	ErrBodyNotRequested = eris.New("server did not ask for the request body")
	// ErrResponseLost means that the connection failed after a part of the request
	// was sent and before the response was complete.
	ErrResponseLost = eris.New("response lost")
	// ErrDial means that no connection could be established. An error of
	// Client.Do that wraps it also wraps ErrNotSent.
	ErrDial = eris.New("cannot connect")
	// ErrRequestBody means that reading the request body from its source failed
	// while it was being sent. Such an error also wraps ErrResponseLost.
	ErrRequestBody = eris.New("cannot read request body")
	// ErrBodyTooLarge means that a body exceeds its limit, which is 32 MiB or half of
	// the budget for responses, or the memory that is left for bodies. An error of
	// Client.Do that wraps it also wraps ErrResponseLost.
	ErrBodyTooLarge = eris.New("body too large")

	errNotCommitted = eris.New("request was given up")
)
