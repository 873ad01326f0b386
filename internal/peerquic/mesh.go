package peerquic

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout ends a connection whose other side is silent.
	idleTimeout = 5 * time.Second
	// keepAlive keeps a connection that is in use from ending.
	keepAlive = 1500 * time.Millisecond
	// unusedFor is how long a connection without requests is kept.
	unusedFor = 20 * time.Second
	// streamsMost is how many requests one daemon may have open at another.
	streamsMost = 4096
	// Flow control windows in bytes, small because there are many connections.
	streamWindow     = 64 << 10
	streamWindowMost = 1 << 20
	connWindow       = 256 << 10
	connWindowMost   = 4 << 20
	// sessions is how many TLS sessions are kept to resume.
	sessions = 256
)

// The codes with which connections are ended.
const (
	codeDone quic.ApplicationErrorCode = iota
	codeIdentity
	codeLost
)

// Handler serves the requests of other daemons, each on a goroutine of its own.
type Handler interface {
	// ServePeer serves one request of the slot named from.
	ServePeer(ctx context.Context, from string, r *schema.Request, s *Stream)
}

// Mesh is a daemon's end of all connections to other daemons.
type Mesh struct {
	identity  *Identity
	transport *quic.Transport
	listener  *quic.Listener
	sessions  tls.ClientSessionCache
	config    *quic.Config
	links     *table.Table[string, *link]
	count     counters
	lost      func(name string)
	group     *workers.Group
	quit      context.Context
	stop      context.CancelFunc
}

// link is a connection to one slot, or the attempt to make it.
type link struct {
	address string
	ready   chan struct{}
	conn    *quic.Conn
	err     error
	used    time.Time
	open    int
}

// Listen opens the mesh at a UDP address. lost is called with the slot whose
// daemon ended its connection, or no longer answered on it.
func Listen(address string, id *Identity, lost func(name string)) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	m := &Mesh{
		identity:  id,
		transport: &quic.Transport{Conn: conn, StatelessResetKey: &id.reset},
		sessions:  tls.NewLRUClientSessionCache(sessions),
		lost:      lost,
		links:     table.New[string, *link](lock.Connections),
		group:     workers.NewGroup(),
	}
	m.config = &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		MaxIncomingStreams:             streamsMost,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindowMost,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     connWindowMost,
		DisablePathMTUDiscovery:        true,
	}
	m.quit, m.stop = context.WithCancel(context.Background())
	m.listener, err = m.transport.Listen(id.server(), m.config)
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	return m, nil
}

// Address returns the UDP address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Traffic returns the bytes of messages so far.
func (m *Mesh) Traffic() Traffic {
	return Traffic{
		controlIn:  m.count.controlIn.Load(),
		controlOut: m.count.controlOut.Load(),
		callIn:     m.count.callIn.Load(),
		callOut:    m.count.callOut.Load(),
	}
}

// Connections returns the number of connections that this daemon made.
func (m *Mesh) Connections() int { return m.links.Len() }

// Close ends all connections, telling the other sides, and waits for the
// goroutines of the mesh.
func (m *Mesh) Close() error {
	m.stop()
	err := m.listener.Close()
	m.links.Each(func(_ string, l *link) {
		if conn := l.made(); conn != nil {
			_ = conn.CloseWithError(codeDone, "stopping")
		}
	})
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
