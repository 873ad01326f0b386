package sidecar_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// proxy forwards connections. After a call of silence it discards the data of the
// connections opened before, without closing them. It forwards new connections.
type proxy struct {
	// opened is the number of connections opened so far. Connections are numbered from 1.
	opened atomic.Int64
	// silencedUpTo is the number of the last silenced connection.
	silencedUpTo atomic.Int64
}

func startProxy(t testing.TB, from, to string) *proxy {
	l, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, to, p.opened.Add(1))
		}
	}()
	return p
}

// silence stops forwarding on all connections opened so far.
func (p *proxy) silence() { p.silencedUpTo.Store(p.opened.Load()) }

func (p *proxy) forward(c net.Conn, to string, number int64) {
	defer func() { _ = c.Close() }()
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	go p.copy(c, d, number)
	p.copy(d, c, number)
}

func (p *proxy) copy(to io.Writer, from io.Reader, number int64) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if number <= p.silencedUpTo.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
