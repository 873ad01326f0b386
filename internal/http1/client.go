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
	// answerMost is the largest answer in bytes that is buffered.
	answerMost = 32 << 20
	// idleMost is how long an idle connection is kept where the server does
	// not say how long it keeps it.
	idleMost = 8 * time.Second
	// idleFresh is how long a connection may have been idle for a request that
	// runs at most once.
	idleFresh = time.Second
	// keepShare is the part of a server's stated idle time that is used, since
	// its clock began earlier.
	keepShare = 0.7
	// lingerTimeout bounds how long the kernel tries to deliver sent bytes.
	lingerTimeout = 2 * time.Second
)

// Client sends requests to one server over connections that it keeps. Make one
// with NewClient.
type Client struct {
	address string
	dial    time.Duration
	most    int
	// mu, of rank lock.Connections, guards what follows.
	mu   *lock.Mutex
	idle []*conn
	// dials counts connections that were opened.
	dials int
}

// NewClient returns the client of the server at an address. Opening a
// connection takes at most dial; most bounds the idle connections that are kept.
func NewClient(address string, dial time.Duration, most int) *Client {
	return &Client{address: address, dial: dial, most: most, mu: lock.New(lock.Connections)}
}

// Do sends a request once and returns its whole answer. An error that is
// ErrNotSent says that the server has seen nothing of the request.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", c.address, ErrNotSent, context.Cause(ctx))
	}
	for {
		conn, reused, err := c.take(ctx, r)
		if err != nil {
			return nil, fmt.Errorf("call %s: %w: %w", c.address, ErrNotSent, err)
		}
		resp, reusable, err := conn.exchange(ctx, r)
		if reusable {
			c.put(conn)
		} else {
			_ = conn.Close()
		}
		if err != nil && reused && errors.Is(err, ErrNotSent) && ctx.Err() == nil {
			continue
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

// take returns a connection that is open and quiet, or a new one.
func (c *Client) take(ctx context.Context, r *Request) (*conn, bool, error) {
	now := time.Now()
	for {
		idle := c.pop()
		if idle == nil {
			break
		}
		if idle.usable(now, r.fresh) && idle.quiet() {
			return idle, true, nil
		}
		_ = idle.Close()
	}
	fresh, err := c.connect(ctx)
	return fresh, false, err
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: c.dial, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	tune(raw)
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	return newConn(raw), nil
}

// Connect opens a connection and keeps it. An error says that the server takes
// none.
func (c *Client) Connect(ctx context.Context) error {
	fresh, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("check %s: %w", c.address, err)
	}
	c.put(fresh)
	return nil
}

func (c *conn) usable(now time.Time, fresh bool) bool {
	most := idleMost
	if c.keep > 0 {
		most = time.Duration(float64(c.keep) * keepShare)
	}
	if fresh {
		most = min(most, idleFresh)
	}
	return now.Sub(c.idle) < most
}

// pop returns the connection that was used last, or nil.
func (c *Client) pop() *conn {
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

func (c *Client) put(idle *conn) {
	idle.idle = time.Now()
	c.mu.Lock()
	room := len(c.idle) < c.most
	if room {
		c.idle = append(c.idle, idle)
	}
	c.mu.Unlock()
	if !room {
		_ = idle.Close()
	}
}

// HasOpenConn says whether any idle connection is still open. It tells a server that
// broke off one answer from one that has ended.
func (c *Client) HasOpenConn() bool {
	c.mu.Lock()
	list := append([]*conn(nil), c.idle...)
	c.mu.Unlock()
	for _, idle := range list {
		if idle.quiet() {
			return true
		}
	}
	return false
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	for idle := c.pop(); idle != nil; idle = c.pop() {
		_ = idle.Close()
	}
}

// CloseExpired closes connections that were idle for too long.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var old []*conn
	kept := c.idle[:0]
	for _, idle := range c.idle {
		if idle.usable(now, false) {
			kept = append(kept, idle)
		} else {
			old = append(old, idle)
		}
	}
	c.idle = kept
	c.mu.Unlock()
	for _, idle := range old {
		_ = idle.Close()
	}
}

// Dials returns how many connections were opened.
func (c *Client) Dials() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}
