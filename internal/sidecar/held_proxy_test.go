package sidecar_test

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// lateEnd is how long after its bytes the end of a connection arrives behind a heldProxy.
const lateEnd = 400 * time.Millisecond

// heldProxy forwards connections between daemons and can hold what they send, as a link or a
// machine that stands still does.
type heldProxy struct {
	mu sync.Mutex
	// held is what is held: requests, answers, bodies (of POST requests, which are sent once they
	// are asked for), or "".
	held string
	// waiting is the number of parts that are held now.
	waiting int
	// released is closed once nothing is held any more.
	released chan struct{}
}

func startHeldProxy(t testing.TB, from, to string) *heldProxy {
	l, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &heldProxy{released: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, to)
		}
	}()
	return p
}

// hold holds what is sent from now on.
func (p *heldProxy) hold(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = what
}

// release sends what was held.
func (p *heldProxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.waiting = "", 0
	close(p.released)
	p.released = make(chan struct{})
}

// holding reports whether something is held that has been sent.
func (p *heldProxy) holding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting > 0
}

// await returns once what is not held.
func (p *heldProxy) await(what string) {
	p.mu.Lock()
	held, released := p.held == what, p.released
	if held {
		p.waiting++
	}
	p.mu.Unlock()
	if held {
		<-released
	}
}

func (p *heldProxy) forward(c net.Conn, to string) {
	defer func() { _ = c.Close() }()
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	go func() {
		p.copy(d, c, func(sent []byte) {
			p.await("requests")
			if !bytes.HasPrefix(sent, []byte(http.MethodPost)) {
				p.await("bodies")
			}
		})
		time.Sleep(lateEnd)
		_ = d.(*net.TCPConn).CloseWrite()
	}()
	p.copy(c, d, func([]byte) { p.await("answers") })
}

// copy forwards in one direction until its end. It calls await before it writes.
func (p *heldProxy) copy(to, from net.Conn, await func(sent []byte)) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		await(buf[:n])
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
