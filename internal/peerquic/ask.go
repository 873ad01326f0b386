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

// RoundTrip sends a request to a slot's daemon and reads its one answer.
func (m *Mesh) RoundTrip(ctx context.Context, name, address string, r *schema.Request) (*schema.Answer, error) {
	s, done, err := m.OpenStream(ctx, name, address, r)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", name, err)
	}
	defer done()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.CloseSend(); err != nil {
		return nil, fmt.Errorf("ask %s: %w", name, err)
	}
	a, err := s.ReadAnswer()
	if err != nil {
		s.Abort()
		return nil, fmt.Errorf("ask %s: %w", name, err)
	}
	s.StopReading()
	return a, nil
}

// OpenStream opens a stream to a slot's daemon and writes a request to it, which goes
// out with Flush or CloseSend. An error that is ErrUnreachable says that nothing
// was sent. done is to be called once the stream is no longer used.
func (m *Mesh) OpenStream(ctx context.Context, name, address string, r *schema.Request) (*Stream, func(), error) {
	conn, err := m.connect(ctx, name, address)
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		m.drop(name, conn)
		return nil, nil, fmt.Errorf("open stream: %w: %w", ErrUnreachable, err)
	}
	m.use(name, 1)
	s := newStream(stream, &m.count)
	s.call = r.HasCall()
	n, err := writeMessage(s.writer, r)
	m.count.add(s.call, 0, n)
	if err != nil {
		m.use(name, -1)
		s.Abort()
		return nil, nil, fmt.Errorf("send request: %w", err)
	}
	return s, func() { m.use(name, -1) }, nil
}

// connect returns the connection to a slot, making it where there is none. All
// who ask meanwhile wait for the same attempt.
func (m *Mesh) connect(ctx context.Context, name, address string) (*quic.Conn, error) {
	var l *link
	dial := false
	m.links.Update(name, func(old *link, ok bool) (*link, bool) {
		if ok && old.address == address && !old.broken() {
			l = old
			return old, true
		}
		l = &link{address: address, ready: make(chan struct{}), used: time.Now()}
		dial = true
		return l, true
	})
	if dial {
		if !m.group.Go(func() { m.dial(name, l) }) {
			// The mesh is closed: the attempt fails at once.
			m.dial(name, l)
		}
	}
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, fmt.Errorf("connect: %w: %w", ErrUnreachable, context.Cause(ctx))
	}
	if l.err != nil {
		return nil, l.err
	}
	return l.conn, nil
}

// broken says whether a link's attempt failed or its connection has ended.
func (l *link) broken() bool {
	select {
	case <-l.ready:
		return l.err != nil || l.conn.Context().Err() != nil
	default:
		return false
	}
}

func (m *Mesh) dial(name string, l *link) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(m.quit, dialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		l.err = fmt.Errorf("resolve %s: %w: %w", l.address, ErrUnreachable, err)
		return
	}
	conn, err := m.transport.Dial(ctx, addr, m.identity.client(name, m.sessions), m.config)
	if err != nil {
		l.err = fmt.Errorf("dial %s: %w: %w", l.address, ErrUnreachable, err)
		return
	}
	if peerName(conn) != name {
		_ = conn.CloseWithError(codeIdentity, "identity")
		l.err = fmt.Errorf("dial %s: %w: %w", l.address, ErrUnreachable, ErrWrongSlot)
		return
	}
	l.conn = conn
	if !m.group.Go(func() { m.watch(name, conn) }) {
		_ = conn.CloseWithError(codeDone, "stopping")
	}
}

// watch waits for the end of a connection and tells if the other side ended it.
// It ends the connection when the mesh is closed, whatever has become of its
// link.
func (m *Mesh) watch(name string, conn *quic.Conn) {
	select {
	case <-conn.Context().Done():
	case <-m.quit.Done():
		_ = conn.CloseWithError(codeDone, "stopping")
		return
	}
	var own *quic.ApplicationError
	if errors.As(context.Cause(conn.Context()), &own) && !own.Remote && own.ErrorCode != codeLost {
		return
	}
	m.lost(name)
}

// drop forgets a connection that has ended.
func (m *Mesh) drop(name string, conn *quic.Conn) {
	m.links.Update(name, func(l *link, ok bool) (*link, bool) {
		return l, ok && l.made() != conn
	})
}

// use notes that requests begin or end on a link.
func (m *Mesh) use(name string, change int) {
	m.links.Update(name, func(l *link, ok bool) (*link, bool) {
		if !ok {
			return l, false
		}
		l.open = max(0, l.open+change)
		l.used = time.Now()
		return l, true
	})
}

// CloseIdle ends the connections that no request has used for a while.
func (m *Mesh) CloseIdle(now time.Time) {
	m.links.Sweep(func(_ string, l *link) bool {
		if l.open > 0 || now.Sub(l.used) < unusedFor {
			return true
		}
		if conn := l.made(); conn != nil {
			m.group.Go(func() { _ = conn.CloseWithError(codeDone, "unused") })
		}
		return false
	})
}

// Disconnect ends the connection to a slot whose daemon no longer answers, and with
// it all requests that wait for it.
func (m *Mesh) Disconnect(name string) {
	m.links.Update(name, func(l *link, ok bool) (*link, bool) {
		if !ok {
			return l, false
		}
		conn := l.made()
		if conn == nil {
			return l, true
		}
		m.group.Go(func() { _ = conn.CloseWithError(codeLost, "no answer") })
		return l, false
	})
}

// made returns the connection of a link whose attempt has ended well.
func (l *link) made() *quic.Conn {
	select {
	case <-l.ready:
		return l.conn
	default:
		return nil
	}
}
