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

	"github.com/lycheehead/lycheehead/internal/wirecheck"
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

// ErrNotSent means that no byte of the request was sent to the backend server.
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
// of the body in bytes, or -1 if unknown. A body that implements io.Seeker must be at its
// start. The header is not copied and may be modified.
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
	var use connUse
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { use.begin(i.Conn) },
	})
	ctx = wirecheck.Trace(ctx, r.method)
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.address+r.target, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", ErrNotSent, err)
	}
	req.Header = r.header
	switch {
	case r.length != 0 && r.body != nil:
		req.Body = io.NopCloser(r.body)
		req.ContentLength = r.length
		allowRewind(req, r.body)
	case r.atMostOnce:
		preventReplay(req)
	}
	preventRetry(req)
	resp, err := c.service.DoRequest(req)
	if err == nil {
		if c.refuses(resp.Header) {
			use.closeConn()
		}
		return resp, nil
	}
	if !use.wrote() {
		return nil, fmt.Errorf("send request to backend server: %w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("send request to backend server: %w", err)
}

// allowRewind lets net/http choose another connection if it has written nothing to the first,
// unless it would also send the request again after that: it does so with methods that are
// idempotent in HTTP if it can rewind the body.
func allowRewind(req *http.Request, body io.Reader) {
	seeker, ok := body.(io.Seeker)
	if !ok || replayed(req.Method) {
		return
	}
	req.GetBody = func() (io.ReadCloser, error) {
		if _, err := seeker.Seek(0, io.SeekStart); err != nil {
			return nil, fmt.Errorf("rewind body: %w", err)
		}
		return io.NopCloser(body), nil
	}
}

// replayed reports whether net/http may send a request with a method again.
func replayed(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// preventReplay gives a request without a body an empty one of unknown length if its method
// is one for which net/http may send the request again. The encoding "identity" keeps the
// body off the connection.
func preventReplay(req *http.Request) {
	if replayed(req.Method) {
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

// connUse records on which connections a request was written. Its methods are called by the
// goroutine that sends the request, which waits for that of net/http that writes it.
type connUse struct {
	conn *trackedConn
	// before is the number of bytes that conn had carried before the request.
	before int64
	// wroteEarlier is set if the request was written on another connection before.
	wroteEarlier bool
}

// begin records that the request was given a connection.
func (u *connUse) begin(c net.Conn) {
	u.wroteEarlier = u.wrote()
	u.conn, _ = c.(*trackedConn)
	if u.conn != nil {
		u.before = u.conn.written.Load()
	}
}

// wrote reports whether any byte of the request was written.
func (u *connUse) wrote() bool {
	return u.wroteEarlier || u.conn != nil && u.conn.written.Load() > u.before
}

// closeConn closes the connection that the request was given last.
func (u *connUse) closeConn() {
	if u.conn != nil {
		_ = u.conn.Close()
	}
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
	return &trackedConn{Conn: wirecheck.NewConn(c), tracker: t}, nil
}

// trackedConn is a connection that notifies its tracker when either side closes it.
type trackedConn struct {
	*wirecheck.Conn
	tracker *connTracker
	closed  atomic.Bool
	// written counts the bytes written.
	written atomic.Int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.markClosed(true)
	}
	return n, err //nolint:wrapcheck // net/http compares errors
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
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
