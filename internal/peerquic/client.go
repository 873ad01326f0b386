package peerquic

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// RoundTrip sends a request without a body to the daemon of a slot and returns its answer.
// name is the name of the slot, and address the UDP address of its daemon. ErrUnreachable
// means that the peer has read nothing; after any other error it may have handled the
// request.
func (m *Mesh) RoundTrip(ctx context.Context, name, address string, r *schema.Request) (*schema.Answer, error) {
	s, done, err := m.OpenStream(ctx, name, address, r)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", name, err)
	}
	defer done()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.CloseSend(); err != nil {
		return nil, fmt.Errorf("request to %s: %w", name, err)
	}
	a, err := s.ReadAnswer()
	if err != nil {
		s.Abort()
		return nil, fmt.Errorf("request to %s: %w", name, err)
	}
	s.StopReading()
	return a, nil
}

// OpenStream opens a stream to the daemon of a slot and writes a request to it. The
// request may stay buffered until Flush or CloseSend is called. ErrUnreachable means
// that the peer has read nothing. The caller must call the returned function when it has
// finished with the stream. The function does not close the stream.
func (m *Mesh) OpenStream(ctx context.Context, name, address string, r *schema.Request) (*Stream, func(), error) {
	c, err := m.connect(ctx, name, address)
	if err != nil {
		return nil, nil, err
	}
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		// If only ctx has ended, others may go on using the connection.
		if c.closed() {
			m.remove(name, c)
		}
		m.release(name, c)
		return nil, nil, fmt.Errorf("open stream: %w: %w", ErrUnreachable, err)
	}
	s := newStream(stream, &m.counters)
	s.isCall = r.HasCall()
	n, err := writeMessage(s.writer, r)
	m.counters.add(s.isCall, 0, n)
	if err != nil {
		s.Abort()
		m.release(name, c)
		return nil, nil, fmt.Errorf("send request: %w", withRefusal(err))
	}
	return s, func() { m.release(name, c) }, nil
}

// connect returns the connection to a slot for one stream, dialing it if there is none.
// Concurrent callers wait for the same attempt. The caller must release the connection.
func (m *Mesh) connect(ctx context.Context, name, address string) (*peerConn, error) {
	c, dial, err := m.acquire(name, address)
	if err != nil {
		return nil, err
	}
	if dial {
		if !m.group.Go(func() { m.dial(name, c) }) {
			// The mesh is closed, so the attempt fails at once.
			m.dial(name, c)
		}
	}
	select {
	case <-c.dialed:
	case <-ctx.Done():
		m.release(name, c)
		return nil, fmt.Errorf("connect: %w: %w", ErrUnreachable, context.Cause(ctx))
	}
	if c.err != nil {
		m.release(name, c)
		return nil, c.err
	}
	return c, nil
}

// acquire counts a stream on the connection to a slot. If there is none, it adds one, which
// the caller must dial. ErrStopping means that the daemon accepts no more streams.
func (m *Mesh) acquire(name, address string) (c *peerConn, dial bool, err error) {
	var replaced *peerConn
	m.conns.Update(name, func(old *peerConn, ok bool) (*peerConn, bool) {
		c = old
		if !ok || old.address != address || old.closed() {
			c = &peerConn{address: address, dialed: make(chan struct{})}
			dial = true
			replaced = old
		}
		if c.draining {
			err = fmt.Errorf("connect: %w: %w", ErrUnreachable, ErrStopping)
			return c, true
		}
		c.openStreams++
		c.lastUsed = time.Now()
		return c, true
	})
	if replaced != nil {
		m.drain(name, replaced)
	}
	return c, dial, err
}

// release ends a stream that was counted by acquire. It closes the connection after the last
// one if the connection is draining.
func (m *Mesh) release(name string, c *peerConn) {
	m.update(name, c, func() {
		c.openStreams--
		c.lastUsed = time.Now()
	})
}

// drain lets no more streams be opened on a connection. It closes the connection if none is
// open.
func (m *Mesh) drain(name string, c *peerConn) {
	m.update(name, c, func() { c.draining = true })
}

// update changes the state of a connection, and then closes the connection if it is draining
// and has no open streams. A connection that is being dialed is closed once it is established.
func (m *Mesh) update(name string, c *peerConn, change func()) {
	unused := false
	// The lock for name guards c, even if c is no longer in conns.
	m.conns.Update(name, func(current *peerConn, ok bool) (*peerConn, bool) {
		change()
		unused = c.draining && c.openStreams == 0
		return current, ok
	})
	if conn := c.established(); unused && conn != nil {
		_ = conn.CloseWithError(codeClosed, "unused")
	}
}

// closed reports whether dialing has failed or the connection has ended.
func (c *peerConn) closed() bool {
	select {
	case <-c.dialed:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

// dial establishes the connection of c, or sets its error, and closes c.dialed.
func (m *Mesh) dial(name string, c *peerConn) {
	defer func() {
		close(c.dialed)
		// The connection may have been drained meanwhile.
		m.update(name, c, func() {})
	}()
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", c.address)
	if err != nil {
		c.err = fmt.Errorf("resolve %s: %w: %w", c.address, ErrUnreachable, err)
		return
	}
	conn, err := m.transport.Dial(ctx, addr, m.identity.clientConfig(name, m.sessions), m.config)
	if err != nil {
		c.err = fmt.Errorf("dial %s: %w: %w", c.address, ErrUnreachable, err)
		return
	}
	if peerName(conn) != name {
		_ = conn.CloseWithError(codeWrongSlot, "identity")
		c.err = fmt.Errorf("dial %s: %w: %w", c.address, ErrUnreachable, ErrWrongSlot)
		return
	}
	c.conn = conn
	if !m.group.Go(func() { m.awaitClose(name, c) }) {
		_ = conn.CloseWithError(codeClosed, "stopping")
	}
}

// awaitClose waits until a connection ends and calls onDisconnect, unless this
// daemon closed it for a reason other than an unresponsive peer. It closes the
// connection when the mesh is closed, even if it is no longer in conns. Until then it
// waits for the peer to announce that it stops.
func (m *Mesh) awaitClose(name string, c *peerConn) {
	conn := c.conn
	if _, err := conn.AcceptUniStream(m.ctx); err == nil {
		m.drain(name, c)
		m.onDisconnect(name)
	}
	select {
	case <-conn.Context().Done():
	case <-m.ctx.Done():
		_ = conn.CloseWithError(codeClosed, "stopping")
		return
	}
	var closeErr *quic.ApplicationError
	if errors.As(context.Cause(conn.Context()), &closeErr) && !closeErr.Remote && closeErr.ErrorCode != codeUnresponsive {
		return
	}
	m.onDisconnect(name)
}

// remove removes a connection that has ended from conns.
func (m *Mesh) remove(name string, c *peerConn) {
	m.conns.Update(name, func(current *peerConn, ok bool) (*peerConn, bool) {
		return current, ok && current != c
	})
}

// CloseIdle closes the connections without open streams that have not been used for
// unusedTimeout.
func (m *Mesh) CloseIdle(now time.Time) {
	m.conns.Sweep(func(_ string, c *peerConn) bool {
		if c.openStreams > 0 || now.Sub(c.lastUsed) < unusedTimeout {
			return true
		}
		if conn := c.established(); conn != nil {
			m.group.Go(func() { _ = conn.CloseWithError(codeClosed, "unused") })
		}
		return false
	})
}

// Disconnect closes the connection to a slot whose daemon has stopped responding,
// which fails all requests that are waiting on it.
func (m *Mesh) Disconnect(name string) {
	m.conns.Update(name, func(c *peerConn, ok bool) (*peerConn, bool) {
		if !ok {
			return c, false
		}
		conn := c.established()
		if conn == nil {
			return c, true
		}
		m.group.Go(func() { _ = conn.CloseWithError(codeUnresponsive, "no answer") })
		return c, false
	})
}

// established returns the connection, or nil while it is being dialed or if dialing
// failed.
func (c *peerConn) established() *quic.Conn {
	select {
	case <-c.dialed:
		return c.conn
	default:
		return nil
	}
}
