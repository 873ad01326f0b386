package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's head.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Server is an HTTP server on one address. Make one with Listen.
type Server struct {
	http *http.Server
}

// Listen starts to serve handler at an IP and port. name is for the library's
// own use.
func Listen(name, address string, handler http.Handler) (*Server, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen at %q: %w", address, err)
	}
	// The library's server ends the process where its address is taken, so that
	// is tried before.
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := probe.Close(); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r, err := rest.NewServer(conf(name, at), rest.WithRouter(&router{handler: handler}))
	if err != nil {
		return nil, fmt.Errorf("make server: %w", err)
	}
	// The library's inner server is kept, to be stopped in time.
	inner := make(chan *http.Server, 1)
	go r.StartWithOpts(func(h *http.Server) {
		h.ReadHeaderTimeout = headerTimeout
		h.IdleTimeout = idleTimeout
		inner <- h
	})
	return &Server{http: <-inner}, nil
}

// conf turns off what the library would decide for itself. Timeouts, breaking
// off, shedding and the sizes of bodies are decisions of the daemon, and a
// body must not be buffered; its logs and traces might hold keys.
func conf(name string, at netip.AddrPort) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{Name: name, Mode: service.ProMode},
		Host:        at.Addr().String(),
		Port:        int(at.Port()),
		Middlewares: rest.MiddlewaresConf{},
	}
}

// Shutdown stops taking connections and waits for the requests that run, until
// ctx ends; then it closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.http.Close()
	}
	if err != nil {
		return fmt.Errorf("stop server: %w", err)
	}
	return nil
}

// DelaySignalShutdown leaves the handling of signals to the caller for the time of bound:
// the library's own would close the servers a second after a signal, and then
// end the process.
func DelaySignalShutdown(bound time.Duration) {
	proc.Setup(proc.ShutdownConf{WrapUpTime: bound, WaitTime: 2 * bound})
}

// router hands every request to one handler, since routes come from bundles.
type router struct {
	handler http.Handler
}

var _ httpx.Router = (*router)(nil)

// ServeHTTP implements http.Handler.
func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }

// Handle implements httpx.Router; there are no fixed routes.
func (r *router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router.
func (r *router) SetNotAllowedHandler(http.Handler) {}
