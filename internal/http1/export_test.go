package http1

import (
	"context"
	"net"
)

// ServeConn serves a connection as one that the server has just accepted.
func (s *PipelineServer) ServeConn(raw net.Conn) { go s.add(raw).serve() }

// Draining returns a context that ends when the server begins to shut down.
func (s *PipelineServer) Draining() context.Context { return s.draining }
