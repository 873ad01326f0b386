// Package relaytest relays the packets between daemons in tests.
package relaytest

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
)

// maxPacketBytes is the maximum size of a packet.
const maxPacketBytes = 64 << 10

// Policy decides on a packet: it calls send at once, later, or not at all.
type Policy func(send func())

// relay passes packets between one client and a server.
type relay struct {
	conn, server *net.UDPConn
	client       atomic.Pointer[net.UDPAddr]
}

// New returns the address of a relay to a server, which runs until the end of the test. The
// policies apply to the packets of the client and to those of the server; each is called by one
// goroutine.
func New(t *testing.T, server string, fromClient, fromServer Policy) string {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{}
	if r.conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP}); err != nil {
		t.Fatal(err)
	}
	if r.server, err = net.DialUDP("udp", nil, addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = r.conn.Close()
		_ = r.server.Close()
	})
	go r.forward(fromClient)
	go r.back(fromServer)
	return r.conn.LocalAddr().String()
}

func (r *relay) forward(pass Policy) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.client.Store(from)
		packet := append([]byte(nil), buf[:n]...)
		pass(func() { _, _ = r.server.Write(packet) })
	}
}

func (r *relay) back(pass Policy) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := r.server.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		packet := append([]byte(nil), buf[:n]...)
		pass(func() { _, _ = r.conn.WriteToUDP(packet, r.client.Load()) })
	}
}
