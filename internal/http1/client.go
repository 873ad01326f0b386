package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// maxResponseBytes is the maximum size of a buffered response body.
	maxResponseBytes = 32 << 20
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// sends no keep-alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// freshIdleTimeout is how long a connection may have been idle to be used for
	// a request that must be executed at most once.
	freshIdleTimeout = time.Second
	// keepAliveFraction is the part of the server's keep-alive timeout during which
	// a connection is reused. The server's timer started earlier than the client's.
	keepAliveFraction = 0.7
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// kernel closes the connection.
	unackedTimeout = 2 * time.Second
)

// Client sends requests to one server over persistent connections. Use NewClient to
// create one. It is safe for concurrent use. It has no background goroutine: its owner
// calls CloseExpired from time to time.
type Client struct {
	address     string
	dialTimeout time.Duration
	maxIdle     int
	// budget bounds the memory for the bodies of responses, nil for no limit.
	budget *Budget
	// mu has rank lock.Connections and guards the fields below.
	mu *lock.Mutex
	// idle holds the idle connections. The last one was used most recently.
	idle []*conn
	// dials is the number of connections opened so far.
	dials int
}

// NewClient returns a client of the server at an address, which is a host and port. It
// keeps at most maxIdle idle connections. The number of connections in use is not limited.
func NewClient(address string, dialTimeout time.Duration, maxIdle int) *Client {
	return &Client{address: address, dialTimeout: dialTimeout, maxIdle: maxIdle, mu: lock.New(lock.Connections)}
}

// WithBudget sets the budget from which the memory for the bodies of responses is taken, and
// returns the client. It must be called before the client is used.
func (c *Client) WithBudget(b *Budget) *Client {
	c.budget = b
	return c
}

// Do sends a request at most once and returns the complete response. When ctx ends, it
// gives up. Every error wraps ErrNotSent, ErrBodyNotRequested or ErrResponseLost. With
// ErrNotSent the server has not executed the request, and with ErrBodyNotRequested neither has
// a server that waits for the body.
// If ctx has ended, the error also wraps its cause.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", c.address, ErrNotSent, context.Cause(ctx))
	}
	for {
		conn, reused, err := c.acquire(ctx, r)
		if err != nil {
			return nil, fmt.Errorf("call %s: %w: %w", c.address, ErrNotSent, err)
		}
		resp, err := c.exchange(ctx, conn, r)
		if err != nil && reused && errors.Is(err, ErrNotSent) && ctx.Err() == nil {
			continue
		}
		if err != nil && reused {
			err = fmt.Errorf("kept connection: %w", err)
		}
		if err != nil && ctx.Err() != nil {
			return nil, fmt.Errorf("call %s: %w: %w", c.address, err, context.Cause(ctx))
		}
		if err != nil {
			return nil, fmt.Errorf("call %s: %w", c.address, err)
		}
		return resp, nil
	}
}

// exchange sends a request on a connection and reads the response. It keeps the connection if it
// can be reused, and closes it otherwise, also if a function of the request panics.
func (c *Client) exchange(ctx context.Context, conn *conn, r *Request) (resp *Response, err error) {
	reusable := false
	defer func() {
		if !reusable {
			_ = conn.Close()
			return
		}
		conn.detachBuffers()
		c.release(conn)
	}()
	conn.attachBuffers()
	resp, reusable, err = conn.exchange(ctx, r)
	return resp, err
}

// acquire returns an idle connection that can be reused, or a new one. The second
// result reports whether the connection is a reused one.
func (c *Client) acquire(ctx context.Context, r *Request) (*conn, bool, error) {
	now := time.Now()
	for {
		idle := c.popIdle()
		if idle == nil {
			break
		}
		if idle.withinTimeout(now, r.freshConnOnly) && idle.healthy() {
			return idle, true, nil
		}
		_ = idle.Close()
	}
	dialed, err := c.dial(ctx)
	return dialed, false, err
}

// dial opens a connection. The error is ErrDial.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: c.dialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	setUnackedTimeout(raw)
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	return newConn(raw, c.budget), nil
}

// Connect opens a connection and keeps it for later requests. It returns ErrDial if the
// server does not accept the connection.
func (c *Client) Connect(ctx context.Context) error {
	dialed, err := c.dial(ctx)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", c.address, err)
	}
	c.release(dialed)
	return nil
}

// withinTimeout reports whether the connection has been idle for less than the
// applicable timeout.
func (c *conn) withinTimeout(now time.Time, freshOnly bool) bool {
	timeout := defaultIdleTimeout
	if c.keepAlive > 0 {
		timeout = time.Duration(float64(c.keepAlive) * keepAliveFraction)
	}
	if freshOnly {
		timeout = min(timeout, freshIdleTimeout)
	}
	return now.Sub(c.idleSince) < timeout
}

// popIdle removes and returns the most recently used idle connection, or returns nil
// if there is none.
func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	last := c.idle[n-1]
	c.idle[n-1] = nil
	c.idle = c.idle[:n-1]
	return last
}

// release keeps a connection for reuse, or closes it if there are enough idle ones.
func (c *Client) release(idle *conn) {
	idle.idleSince = time.Now()
	c.mu.Lock()
	keep := len(c.idle) < c.maxIdle
	if keep {
		c.idle = append(c.idle, idle)
	}
	c.mu.Unlock()
	if !keep {
		_ = idle.Close()
	}
}

// HasOpenConn reports whether any idle connection is still open. This distinguishes a
// server that aborted one response from a server that has exited.
func (c *Client) HasOpenConn() bool {
	c.mu.Lock()
	conns := append([]*conn(nil), c.idle...)
	c.mu.Unlock()
	for _, idle := range conns {
		if idle.healthy() {
			return true
		}
	}
	return false
}

// CloseIdle closes all idle connections. Connections in use are not affected.
func (c *Client) CloseIdle() {
	for idle := c.popIdle(); idle != nil; idle = c.popIdle() {
		_ = idle.Close()
	}
}

// CloseExpired closes the connections whose idle timeout has expired.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var expired []*conn
	kept := c.idle[:0]
	for _, idle := range c.idle {
		if idle.withinTimeout(now, false) {
			kept = append(kept, idle)
		} else {
			expired = append(expired, idle)
		}
	}
	c.idle = kept
	c.mu.Unlock()
	for _, idle := range expired {
		_ = idle.Close()
	}
}

// Dials returns the number of connections opened so far.
func (c *Client) Dials() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}
