package peerquic

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a peer may send nothing before its connection is
	// considered lost.
	idleTimeout = 5 * time.Second
	// keepAliveInterval prevents idleTimeout from ending connections to live peers.
	keepAliveInterval = 1500 * time.Millisecond
	// unusedTimeout is how long a connection without requests is kept.
	unusedTimeout = 20 * time.Second
	// maxIncomingStreams is the number of requests that a peer may have open.
	maxIncomingStreams = 4096
	// Flow control windows, small because there are many connections.
	streamWindowBytes    = 64 << 10
	maxStreamWindowBytes = 1 << 20
	connWindowBytes      = 256 << 10
	maxConnWindowBytes   = 4 << 20
	// sessionCacheSize is the number of TLS sessions kept for resumption.
	sessionCacheSize = 256
)

// Error codes with which connections are closed.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeWrongSlot
	codeUnresponsive
)

// Handler serves the requests of other daemons.
type Handler interface {
	// ServePeer serves one request from the slot named from. It is called in a
	// separate goroutine for each request, and must close or abort s before it
	// returns. ctx ends when the peer aborts the request or is lost.
	ServePeer(ctx context.Context, from string, r *schema.Request, s *Stream)
}

// Mesh manages a daemon's connections to other daemons. Use Listen to create one. It is
// safe for concurrent use.
type Mesh struct {
	identity  *Identity
	transport *quic.Transport
	listener  *quic.Listener
	sessions  tls.ClientSessionCache
	config    *quic.Config
	// conns holds the outgoing connections by slot name.
	conns        *table.Table[string, *peerConn]
	counters     counters
	onDisconnect func(name string)
	group        *workers.Group
	// accepting has the goroutine that accepts connections, and incoming one for each
	// connection that was accepted.
	accepting, incoming *workers.Group
	// stopping is closed when Shutdown begins.
	stopping     chan struct{}
	stoppingOnce sync.Once
	// ctx ends when the mesh is closed.
	ctx    context.Context
	cancel context.CancelFunc
}

// peerConn is a connection to a slot that is established or being dialed.
type peerConn struct {
	address string
	// dialed is closed once conn or err is set.
	dialed      chan struct{}
	conn        *quic.Conn
	err         error
	lastUsed    time.Time
	openStreams int
	// draining is set once no more streams are to be opened: the peer has announced that it
	// accepts none, or the connection is no longer in conns.
	draining bool
}

// Listen opens the mesh on a UDP address. Incoming connections are accepted only after
// Serve is called. onDisconnect is called, in a goroutine of the mesh, with the name of a
// slot whose daemon announced its stop, closed the connection or stopped responding on it.
func Listen(address string, id *Identity, onDisconnect func(name string)) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	m := &Mesh{
		identity:     id,
		transport:    &quic.Transport{Conn: conn, StatelessResetKey: &id.resetKey},
		sessions:     tls.NewLRUClientSessionCache(sessionCacheSize),
		onDisconnect: onDisconnect,
		conns:        table.New[string, *peerConn](lock.Connections),
		group:        workers.NewGroup(),
		accepting:    workers.NewGroup(),
		incoming:     workers.NewGroup(),
		stopping:     make(chan struct{}),
	}
	m.config = &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAliveInterval,
		MaxIncomingStreams:             maxIncomingStreams,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     maxConnWindowBytes,
		DisablePathMTUDiscovery:        true,
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.listener, err = m.transport.Listen(id.serverConfig(), m.config)
	if err != nil {
		m.cancel()
		return nil, errors.Join(fmt.Errorf("listen for peers: %w", err), m.transport.Close(), conn.Close())
	}
	return m, nil
}

// Address returns the UDP address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Traffic returns the numbers of bytes sent and received since the mesh was opened.
func (m *Mesh) Traffic() Traffic {
	return Traffic{
		controlIn:  m.counters.controlIn.Load(),
		controlOut: m.counters.controlOut.Load(),
		callIn:     m.counters.callIn.Load(),
		callOut:    m.counters.callOut.Load(),
	}
}

// Connections returns the number of outgoing connections, including those being
// dialed.
func (m *Mesh) Connections() int { return m.conns.Len() }

// Shutdown stops accepting connections, and asks the daemons that are connected to this one
// to open no more streams and to close their connections once they have read the responses
// to those that are open. It returns when they have done so or when ctx ends. Requests that
// are on their way when it begins are still passed to the handler. Connections to other
// daemons are not affected. Close must be called afterwards.
func (m *Mesh) Shutdown(ctx context.Context) {
	m.stoppingOnce.Do(func() { close(m.stopping) })
	_ = m.listener.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		m.accepting.Close()
		m.incoming.Close()
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// Close closes all connections, notifying the peers, and waits for the goroutines
// of the mesh to return, including those in Handler.ServePeer.
func (m *Mesh) Close() error {
	m.cancel()
	err := m.listener.Close()
	m.conns.Each(func(_ string, c *peerConn) {
		if conn := c.established(); conn != nil {
			_ = conn.CloseWithError(codeClosed, "stopping")
		}
	})
	m.accepting.Close()
	m.incoming.Close()
	m.group.Close()
	if e := m.transport.Close(); err == nil {
		err = e
	}
	if e := m.transport.Conn.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("close mesh: %w", err)
	}
	return nil
}
