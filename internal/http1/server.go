package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

const (
	// headerTimeout is how long a client may take to send the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long the connection of a client may be idle.
	idleTimeout = 2 * time.Minute
)

// Server is an HTTP server on one address.
type Server interface {
	// Shutdown stops accepting connections and waits for running requests to finish. If
	// ctx ends first, it closes their connections.
	Shutdown(ctx context.Context) error
}

// restServer is a server of go-zero.
type restServer struct {
	http *http.Server
}

// Listen starts a server of go-zero for handler on an IP address and port and returns at
// once. It is meant for clients that send no request before the last one has been
// answered. The server runs until Shutdown. name identifies it to go-zero. The error reports an invalid
// address or one that cannot be listened on.
func Listen(name, address string, handler http.Handler) (Server, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse listen address %q: %w", address, err)
	}
	// The go-zero server exits the process if the address is in use, so check that
	// first.
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := probe.Close(); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r, err := rest.NewServer(serverConfig(name, addr), rest.WithRouter(&singleHandlerRouter{handler: handler}))
	if err != nil {
		return nil, fmt.Errorf("create server: %w", err)
	}
	// Keep the net/http server of go-zero to be able to shut it down.
	started := make(chan *http.Server, 1)
	go r.StartWithOpts(func(h *http.Server) {
		h.ReadHeaderTimeout = headerTimeout
		h.IdleTimeout = idleTimeout
		started <- h
	})
	return &restServer{http: <-started}, nil
}

// serverConfig disables all middleware of go-zero. The daemon itself implements
// timeouts, circuit breaking, load shedding and body size limits. Bodies must not be
// buffered, and the logs and traces of the middleware might contain API keys.
func serverConfig(name string, addr netip.AddrPort) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{Name: name, Mode: service.ProMode},
		Host:        addr.Addr().String(),
		Port:        int(addr.Port()),
		Middlewares: rest.MiddlewaresConf{},
	}
}

// Shutdown implements Server.
func (s *restServer) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil && ctx.Err() != nil {
		err = s.http.Close()
	}
	if err != nil {
		return fmt.Errorf("shut down server: %w", err)
	}
	return nil
}

// ShutdownAll shuts down servers at the same time.
func ShutdownAll[S Server](ctx context.Context, servers []S) error {
	errs := make([]error, len(servers))
	var group sync.WaitGroup
	for i, s := range servers {
		group.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// DelaySignalShutdown delays go-zero's reaction to a termination signal, so that the
// caller has time to shut down first. By default go-zero closes the servers one second
// after the signal and then ends the process. It must be called before the signal arrives.
func DelaySignalShutdown(delay time.Duration) {
	proc.Setup(proc.ShutdownConf{WrapUpTime: delay, WaitTime: 2 * delay})
}

// singleHandlerRouter passes every request to one handler, as the routes are part of
// the daemon's configuration.
type singleHandlerRouter struct {
	handler http.Handler
}

var _ httpx.Router = (*singleHandlerRouter)(nil)

// ServeHTTP implements http.Handler.
func (r *singleHandlerRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}

// Handle implements httpx.Router. It does nothing, as there are no fixed routes.
func (r *singleHandlerRouter) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router.
func (r *singleHandlerRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router.
func (r *singleHandlerRouter) SetNotAllowedHandler(http.Handler) {}
