package mesh_test

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// relay passes packets between one client and a server. It drops those of the client for some
// time after the first one.
type relay struct {
	conn, server *net.UDPConn
	silence      time.Duration
	client       atomic.Pointer[net.UDPAddr]
}

// newRelay returns the address of a relay to a server, which runs until the end of the test.
func newRelay(t *testing.T, server string, silence time.Duration) string {
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{silence: silence}
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
	go r.forward()
	go r.back()
	return r.conn.LocalAddr().String()
}

func (r *relay) forward() {
	buf := make([]byte, 64<<10)
	var end time.Time
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if end.IsZero() {
			end = time.Now().Add(r.silence)
		}
		if time.Now().Before(end) {
			continue
		}
		r.client.Store(from)
		_, _ = r.server.Write(buf[:n])
	}
}

func (r *relay) back() {
	buf := make([]byte, 64<<10)
	for {
		n, err := r.server.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			_, _ = r.conn.WriteToUDP(buf[:n], r.client.Load())
		}
	}
}
