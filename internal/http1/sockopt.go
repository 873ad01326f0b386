package http1

import (
	"net"
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
