package stop

import (
	"context"
	"net/http"
	"time"
)

// Bodies ends the reading of request bodies at the end of a planned stop. Use NewBodies to
// create one. It is safe for concurrent use.
type Bodies struct {
	ctx    context.Context //nolint:containedctx // a state, not a call
	refuse context.CancelFunc
}

// NewBodies returns a Bodies that permits reading.
func NewBodies() *Bodies {
	b := &Bodies{}
	b.ctx, b.refuse = context.WithCancel(context.Background())
	return b
}

// Refuse ends the reading of bodies, also of those that are being read.
func (b *Bodies) Refuse() { b.refuse() }

// Refused reports whether Refuse has been called.
func (b *Bodies) Refused() bool { return b.ctx.Err() != nil }

// Limit makes Refuse end the reading of the body of the request that is answered with w, until
// release is called.
func (b *Bodies) Limit(w http.ResponseWriter) (release func() bool) {
	control := http.NewResponseController(w)
	return context.AfterFunc(b.ctx, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
}
