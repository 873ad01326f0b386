package wirecheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// transport is an http.Transport whose connections are checked.
type transport struct {
	base *http.Transport
}

// NewTransport makes the connections of a transport be checked. base must not be used otherwise.
func NewTransport(base *http.Transport) http.RoundTripper {
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http wraps it
		}
		return NewConn(c), nil
	}
	return &transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(r.WithContext(Trace(r.Context(), r.Method))) //nolint:wrapcheck // http.Client wraps it
}

// CloseIdleConnections is called by http.Client.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// requestConn is a Conn, or one that embeds it.
type requestConn interface {
	Begin(method string)
	Sending()
	Sent(err error)
}

// Trace returns a context by which net/http tells connections of this package which request they
// carry and when it has been sent.
func Trace(ctx context.Context, method string) context.Context {
	var current atomic.Pointer[requestConn]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c, ok := i.Conn.(requestConn)
			if !ok {
				return
			}
			c.Begin(method)
			c.Sending()
			current.Store(&c)
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if c := current.Load(); c != nil {
				(*c).Sent(i.Err)
			}
		},
	})
}
