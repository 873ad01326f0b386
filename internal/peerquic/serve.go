package peerquic

import (
	"context"

	"github.com/quic-go/quic-go"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Serve starts to accept connections and to pass the requests of other daemons to h, and
// returns at once. It continues until the mesh is closed.
func (m *Mesh) Serve(h Handler) {
	m.accepting.Go(func() {
		for {
			conn, err := m.listener.Accept(m.ctx)
			if err != nil {
				return
			}
			if !m.incoming.Go(func() { m.serveConn(conn, h) }) {
				_ = conn.CloseWithError(codeClosed, "stopping")
			}
		}
	})
}

func (m *Mesh) serveConn(conn *quic.Conn, h Handler) {
	from := peerName(conn)
	defer func() { _ = conn.CloseWithError(codeClosed, "stopping") }()
	m.group.Go(func() { m.announceStop(conn) })
	for {
		s, err := conn.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.group.Go(func() { m.serveStream(from, newStream(s, &m.counters), h) })
	}
}

// announceStop waits for Shutdown and then opens a unidirectional stream, which tells the peer
// that this daemon stops. There are no other streams of that kind.
func (m *Mesh) announceStop(conn *quic.Conn) {
	select {
	case <-m.stopping:
	case <-conn.Context().Done():
		return
	}
	if s, err := conn.OpenUniStream(); err == nil {
		_ = s.Close()
	}
}

func (m *Mesh) serveStream(from string, s *Stream, h Handler) {
	r := &schema.Request{}
	n, err := readMessage(s.reader, r)
	s.isCall = r.HasCall()
	m.counters.add(s.isCall, n, 0)
	if err != nil || r.WhichKind() == 0 {
		s.Abort()
		return
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	h.ServePeer(ctx, from, r, s)
}

// peerName returns the name of the slot in the peer's verified certificate, or an empty
// string if the peer sent none.
func peerName(conn *quic.Conn) string {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	return certificates[0].Subject.CommonName
}
