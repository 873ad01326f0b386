package http1

import (
	"context"
	"net"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// ServeConn serves a connection as one that the server has just accepted.
func (s *PipelineServer) ServeConn(raw net.Conn) { go s.add(raw).serve() }

// Draining returns a context that ends when the server begins to shut down.
func (s *PipelineServer) Draining() context.Context { return s.draining }

// BeginReading returns a lease of a body that is being read.
func (b *Budget) BeginReading(need caller.Need, abort func()) *Lease {
	return &Lease{budget: b, need: need, abort: abort}
}

// Grow takes n more bytes for a lease and reports whether there were that many.
func (b *Budget) Grow(l *Lease, n int64) bool { return b.grow(l, n) }

// EndReading records that the body of a lease has been read whole, and returns false if it has
// given way.
func (b *Budget) EndReading(l *Lease) bool { return b.readEnd(l) }
