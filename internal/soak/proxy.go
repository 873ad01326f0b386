package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// link is a TCP proxy for the connections of one daemon to another. Each daemon looks for the
// others at its own port numbers, so that daemons with different ports can be connected by a
// link for each pair.
type link struct {
	listener net.Listener
	// source is the address from which the proxy connects, target the one to which.
	source *net.TCPAddr
	target string
	// ways are the two directions, the first from source to target.
	ways  [2]way
	conns *table.Table[*net.TCPConn, struct{}]
	// refused is called when the target does not accept a connection, which the source sees as
	// a reset.
	refused func()
}

// way is a direction of a link.
type way struct {
	delay atomic.Int64
	// blocked holds a channel that is closed at the end of the silence, or nil.
	blocked atomic.Pointer[chan struct{}]
}

// forwardSize is the size of the buffer of a direction.
const forwardSize = 32 << 10

func newLink(listen, source, target string, refused func()) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen for link: %w", err)
	}
	k := &link{
		listener: l, source: &net.TCPAddr{IP: net.ParseIP(source)}, target: target, refused: refused,
		conns: table.New[*net.TCPConn, struct{}](lock.Connections),
	}
	go k.accept()
	return k, nil
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c.(*net.TCPConn))
	}
}

func (k *link) serve(from *net.TCPConn) {
	c, err := (&net.Dialer{LocalAddr: k.source, Timeout: time.Second}).Dial("tcp", k.target)
	if err != nil {
		k.refused()
		reset(from)
		return
	}
	to := c.(*net.TCPConn)
	k.conns.Put(from, struct{}{})
	k.conns.Put(to, struct{}{})
	ended := make(chan struct{})
	go func() {
		k.ways[1].forward(to, from)
		close(ended)
	}()
	k.ways[0].forward(from, to)
	<-ended
	for _, c := range []*net.TCPConn{from, to} {
		k.conns.Delete(c)
		_ = c.Close()
	}
}

// forward copies bytes until one of the connections ends, and ends the other one in the same
// way.
func (w *way) forward(from, to *net.TCPConn) {
	buf := make([]byte, forwardSize)
	for {
		n, err := from.Read(buf)
		if blocked := w.blocked.Load(); blocked != nil {
			<-*blocked
		}
		time.Sleep(time.Duration(w.delay.Load()))
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// resetAll resets the open connections.
func (k *link) resetAll() {
	k.conns.Each(func(c *net.TCPConn, _ struct{}) { reset(c) })
}

// silence stops one direction and returns the function that continues it.
func (k *link) silence(direction int) (end func()) {
	blocked := make(chan struct{})
	k.ways[direction].blocked.Store(&blocked)
	return func() {
		k.ways[direction].blocked.Store(nil)
		close(blocked)
	}
}

func (k *link) setDelay(d time.Duration) {
	for i := range k.ways {
		k.ways[i].delay.Store(int64(d))
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.resetAll()
}
