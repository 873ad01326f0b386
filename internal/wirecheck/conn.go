package wirecheck

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// sendEndTimeout is how long the end of a connection waits for the goroutine that writes the
	// request to say how that ended. If the request has been written, that goroutine only has to
	// be scheduled. Otherwise it may be waiting for the source of the body.
	sendEndTimeout = 100 * time.Millisecond
	// tcpClosed is the state of a connection that has been reset or has timed out, see tcp(7). One
	// that the server has only closed is in the state CLOSE_WAIT.
	tcpClosed = 7
)

var (
	// ErrUnfinished means that a response ended with its connection before the request was sent.
	ErrUnfinished = eris.New("connection ended before the request was sent")
	// ErrReset means that a response ended with its connection, which was not closed but failed.
	ErrReset = eris.New("connection failed")

	errNoSocket = eris.New("not a socket")
)

// Conn is a connection of a client on which responses are checked. A response that only the end
// of the connection delimits fails if there was an error in either direction. Use NewConn to
// create one.
type Conn struct {
	net.Conn
	checker Checker
	// sent receives the result of writing the request. It is nil if nothing is being written.
	sent atomic.Pointer[chan error]
}

// NewConn returns a connection that checks what is read from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin states that a request with a method is about to be sent. Its response is read next.
func (c *Conn) Begin(method string) {
	c.checker.Begin(method)
	c.sent.Store(nil)
}

// Sending states that the request is being written from now on, until Sent.
func (c *Conn) Sending() {
	sent := make(chan error, 1)
	c.sent.Store(&sent)
}

// Sent states that writing the request has ended.
func (c *Conn) Sent(err error) {
	if sent := c.sent.Load(); sent != nil {
		select {
		case *sent <- err:
		default:
		}
	}
}

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
	case errors.Is(err, io.EOF) && c.checker.UntilClose():
		if failure := c.failure(); failure != nil {
			return 0, failure
		}
	}
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}

// failure returns the error because of which the end of the connection is not the end of a
// response, or nil. The error of a socket is reported once, to the reader or to the writer; the
// other one sees an ordinary end.
func (c *Conn) failure() error {
	if sent := c.sent.Load(); sent != nil {
		// A write that has not ended fails now.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		limit := time.NewTimer(sendEndTimeout)
		defer limit.Stop()
		select {
		case err := <-*sent:
			*sent <- err
			if err != nil {
				return fmt.Errorf("%w: %w", ErrUnfinished, err)
			}
		case <-limit.C:
			return ErrUnfinished
		}
	}
	if c.failed() {
		return ErrReset
	}
	return nil
}

// failed reports whether the connection has failed, as opposed to having been closed by the server.
func (c *Conn) failed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	failed := false
	err = raw.Control(func(fd uintptr) {
		info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		failed = e == nil && info.State == tcpClosed
	})
	return failed || err != nil
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
