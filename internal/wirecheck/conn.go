package wirecheck

import (
	"fmt"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

var errNoSocket = eris.New("not a socket")

// Conn is a connection of a client on which responses are checked. Use NewConn to create one.
type Conn struct {
	net.Conn
	checker Checker
}

// NewConn returns a connection that checks what is read from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin states that a request with a method is about to be sent. Its response is read next.
func (c *Conn) Begin(method string) { c.checker.Begin(method) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.checker.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	checked, malformed := c.checker.Check(p[:n])
	switch {
	case checked > 0:
		// What follows is for the next call.
		return checked, nil
	case malformed != nil:
		return 0, malformed
	}
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("socket of connection: %w", err)
	}
	return raw, nil
}
