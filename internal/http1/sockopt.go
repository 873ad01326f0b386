package http1

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, see tcp(7). Package syscall
// does not define it.
const tcpUserTimeout = 18

// setUnackedTimeout limits how long sent data may remain unacknowledged, so that a
// connection does not hang for minutes if packets are lost without an error.
func setUnackedTimeout(c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// If the option is not supported, the timeouts of the system apply.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// acceptNow accepts a connection that is waiting, or returns an error. The deadline of the
// listener does not apply.
func acceptNow(l net.Listener) (net.Conn, error) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access listener: %w", err)
	}
	var fd int
	var acceptErr error
	if err := raw.Control(func(listener uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	}); err != nil {
		return nil, fmt.Errorf("access listener: %w", err)
	}
	if acceptErr != nil {
		return nil, fmt.Errorf("accept: %w", acceptErr)
	}
	f := os.NewFile(uintptr(fd), "")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("wrap connection: %w", err)
	}
	return c, nil
}

// peek returns how many bytes a socket has to read, at most one. None means that the peer has
// ended the connection, or that it is open if open is set.
func peek(fd uintptr) (n int, open bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return max(n, 0), errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}

// inspect returns what peek returns for a connection. It may be called while another goroutine
// uses the connection.
func inspect(c net.Conn) (n int, open bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	if err := raw.Control(func(fd uintptr) { n, open = peek(fd) }); err != nil {
		return 0, false
	}
	return n, open
}

// ended reports whether the peer has ended a connection on which nothing is left to read.
func ended(c net.Conn) bool {
	n, open := inspect(c)
	return n == 0 && !open
}

// unread reports whether a connection has bytes that have not been read.
func unread(c net.Conn) bool {
	n, _ := inspect(c)
	return n > 0
}
