package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	// service is the name of the client within httpc.
	service     = "backend"
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// ErrNotSent says that nothing of a request reached the backend server.
var ErrNotSent = eris.New("request was not sent")

// Client sends requests to one backend server. Make one with New.
type Client struct {
	address string
	service httpc.Service
	pool    *pool
}

// New returns the client of the backend server at an address. It keeps at most
// connections open. lost is called when the last of them breaks and when the
// backend server refuses a new one.
func New(address string, connections int, lost func()) *Client {
	// Breaking off is the gate's decision, which sees more than the client.
	breaker.NoBreakerFor(service)
	p := &pool{lost: lost}
	transport := &http.Transport{
		DialContext:         p.dial,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     16 << 10,
		ReadBufferSize:      16 << 10,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{
		address: address,
		service: httpc.NewServiceWithClient(service, client),
		pool:    p,
	}
}

// Request is what is sent to the backend server.
type Request struct {
	method, target string
	header         http.Header
	body           io.Reader
	length         int64
}

// NewRequest returns a request with a path and query, its header fields, and a
// body of length bytes, -1 where that is not known.
func NewRequest(method, target string, header http.Header, body io.Reader, length int64) Request {
	return Request{method: method, target: target, header: header, body: body, length: length}
}

// Do sends a request and returns the head of its answer. An error that is
// ErrNotSent says that the request has not run and will not.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.address+r.target, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", ErrNotSent, err)
	}
	req.Header = r.header
	if r.length != 0 && r.body != nil {
		// A body that cannot be read again also keeps the client from sending
		// the request again.
		req.Body = io.NopCloser(r.body)
		req.ContentLength = r.length
	}
	once(req)
	resp, err := c.service.DoRequest(req)
	if err == nil {
		return resp, nil
	}
	if !written.Load() {
		return nil, fmt.Errorf("call backend server: %w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("call backend server: %w", err)
}

// once spells the names of idempotency keys in lower case. The HTTP client
// takes the usual spelling for leave to send a request again by itself; the
// names mean the same on the wire.
func once(req *http.Request) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[lower(name)] = v
		}
	}
}

func lower(name string) string {
	b := []byte(name)
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

// pool counts the connections to the backend server.
type pool struct {
	open atomic.Int64
	lost func()
}

func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		if ctx.Err() == nil {
			p.lost()
		}
		return nil, fmt.Errorf("dial backend server: %w", err)
	}
	p.open.Add(1)
	return &conn{Conn: c, pool: p}, nil
}

// conn tells its pool when the backend server ends it.
type conn struct {
	net.Conn
	pool  *pool
	ended atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.end(true)
	}
	return n, err //nolint:wrapcheck // the HTTP client compares errors
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end(false)
	return c.Conn.Close() //nolint:wrapcheck // the HTTP client compares errors
}

// end counts the connection as ended, once. The backend server's ending of the
// last connection may be a restart.
func (c *conn) end(broken bool) {
	if c.ended.Swap(true) {
		return
	}
	if c.pool.open.Add(-1) == 0 && broken {
		c.pool.lost()
	}
}
