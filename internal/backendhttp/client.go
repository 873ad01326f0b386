package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	// clientName identifies the client to go-zero.
	clientName  = "backend"
	dialTimeout = time.Second
	// maxHeadBytes is the maximum size of the head of a response.
	maxHeadBytes = 64 << 10
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// ErrNotSent means that no part of the request was sent to the backend server.
var ErrNotSent = eris.New("request was not sent")

// Client sends requests to one backend server. Use New to create one. It is safe for
// concurrent use.
type Client struct {
	address string
	service httpc.Service
	tracker *connTracker
	// refuses reports by the header of a response whether the backend server refused the
	// request.
	refuses func(http.Header) bool
}

// New returns a client of the backend server at an address, which is a host and port. At
// most maxConns connections are open at a time; further requests wait. refuses reports by the
// header of a response whether the backend server refused the request; such a response ends
// its connection, so that a second copy of it cannot be taken for the response to a later
// request. onFailure is called when the last open connection breaks and when a new one cannot
// be established, possibly from several goroutines at once.
func New(address string, maxConns int, refuses func(http.Header) bool, onFailure func()) *Client {
	// Admission control decides when to stop sending requests, as it has more
	// information than the library's circuit breaker.
	breaker.NoBreakerFor(clientName)
	t := &connTracker{onFailure: onFailure}
	transport := &http.Transport{
		DialContext:         t.dial,
		MaxIdleConns:        maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     16 << 10,
		ReadBufferSize:      16 << 10,
		// Interim responses count, too.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{
		address: address,
		service: httpc.NewServiceWithClient(clientName, client),
		tracker: t,
		refuses: refuses,
	}
}

// Request is a request to the backend server. Use NewRequest to create one. It can be
// sent once.
type Request struct {
	method, target string
	header         http.Header
	body           io.Reader
	length         int64
	atMostOnce     bool
}

// NewRequest returns a request. target is the escaped path and query. length is the size
// of the body in bytes, or -1 if unknown. The header is not copied and may be modified.
func NewRequest(method, target string, header http.Header, body io.Reader, length int64) Request {
	return Request{method: method, target: target, header: header, body: body, length: length}
}

// AtMostOnce returns a request that is sent once, whatever its method. Without it, a request
// without a body whose method is safe is sent again if the backend server closes a connection
// on which it has answered other requests.
func (r Request) AtMostOnce() Request {
	r.atMostOnce = true
	return r
}

// Do sends a request and returns the response, whose body the caller must close.
// Redirects are not followed. ErrNotSent means that the request was not executed and will
// not be; after any other error it may have been.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	var written atomic.Bool
	var conn atomic.Pointer[httptrace.GotConnInfo]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:          func(i httptrace.GotConnInfo) { conn.Store(&i) },
		WroteHeaderField: func(string, []string) { written.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.address+r.target, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", ErrNotSent, err)
	}
	req.Header = r.header
	switch {
	case r.length != 0 && r.body != nil:
		// A body that cannot be rewound also prevents net/http from sending the
		// request again.
		req.Body = io.NopCloser(r.body)
		req.ContentLength = r.length
	case r.atMostOnce:
		preventReplay(req)
	}
	preventRetry(req)
	resp, err := c.service.DoRequest(req)
	if err == nil {
		if i := conn.Load(); i != nil && c.refuses(resp.Header) {
			_ = i.Conn.Close()
		}
		return resp, nil
	}
	if !written.Load() {
		return nil, fmt.Errorf("send request to backend server: %w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("send request to backend server: %w", err)
}

// preventReplay gives a request without a body an empty one of unknown length if its method
// is one for which net/http may send the request again. The encoding "identity" keeps the
// body off the connection.
func preventReplay(req *http.Request) {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = io.NopCloser(strings.NewReader(""))
		req.TransferEncoding = []string{"identity"}
	}
}

// preventRetry converts the names of the idempotency key fields to lower case. If they
// are present in canonical form, net/http may send the request again. The change has
// no effect on the backend server, as field names are case-insensitive.
func preventRetry(req *http.Request) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[toLower(name)] = v
		}
	}
}

func toLower(name string) string {
	b := []byte(name)
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

// connTracker counts the open connections to the backend server.
type connTracker struct {
	open      atomic.Int64
	onFailure func()
}

// dial opens a connection. If that fails, it calls onFailure, unless ctx has ended.
func (t *connTracker) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		if ctx.Err() == nil {
			t.onFailure()
		}
		return nil, fmt.Errorf("dial backend server: %w", err)
	}
	t.open.Add(1)
	return &trackedConn{Conn: c, tracker: t}, nil
}

// trackedConn is a connection that notifies its tracker when either side closes it.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	closed  atomic.Bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.markClosed(true)
	}
	return n, err //nolint:wrapcheck // net/http compares errors
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.markClosed(false)
	return c.Conn.Close() //nolint:wrapcheck // net/http compares errors
}

// markClosed counts the connection as closed, once. If the last open connection is
// broken by the backend server, that server may be restarting.
func (c *trackedConn) markClosed(broken bool) {
	if c.closed.Swap(true) {
		return
	}
	if c.tracker.open.Add(-1) == 0 && broken {
		c.tracker.onFailure()
	}
}
