package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/proc"
)

// signals holds the signals that the process has received and not handled. Each kind has a
// channel of its own, since a signal that finds its channel full is dropped: a signal to stop
// must not be lost to reloads that wait.
type signals struct {
	stop, reload chan os.Signal
}

// notifySignals begins to receive signals. Without it SIGTERM, SIGINT and SIGHUP end the
// process at once.
func notifySignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// awaitStop waits for a signal to stop. The HTTP library holds one that arrived before
// notifySignals.
func (s *signals) awaitStop() {
	select {
	case <-s.stop:
	case <-proc.Done():
	}
}

// restoreDefaults makes signals end the process at once, as those do that have arrived.
func (s *signals) restoreDefaults() {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// The HTTP library begins to handle signals in a goroutine of its own, possibly after the
	// reset. It does so once, so that a second reset is final. It does not say which signal it
	// received.
	go func() {
		<-proc.Done()
		signal.Reset(syscall.SIGTERM, syscall.SIGINT)
		raise(syscall.SIGTERM)
	}()
	select {
	case received := <-s.stop:
		raise(received)
	case received := <-s.reload:
		raise(received)
	default:
	}
}

// ignoreBrokenPipes makes writes to standard output and standard error fail with an error once
// their reader has gone. Without it they end the process by SIGPIPE.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// raise sends a signal to the process.
func raise(s os.Signal) {
	if number, ok := s.(syscall.Signal); ok {
		_ = syscall.Kill(os.Getpid(), number)
	}
}
