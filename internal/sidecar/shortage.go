package sidecar

import (
	"errors"
	"syscall"
)

// localShortage reports whether a connection could not be opened because this machine lacks
// file descriptors, ports or memory. That says nothing about the server.
func localShortage(err error) bool {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}
