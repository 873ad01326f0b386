package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds the signals that the process has received and not handled. Each kind has a
// channel of its own, since a signal that finds its channel full is dropped: a signal to stop
// must not be lost to reloads that wait.
type signals struct {
	stop, reload chan os.Signal
}

// notifySignals begins to receive signals. Without it SIGTERM, SIGINT and SIGHUP end the
// process at once, and so does a write to standard output or standard error once its reader
// has gone, by SIGPIPE. Ignored, it leaves the error of the write.
func notifySignals() *signals {
	signal.Ignore(syscall.SIGPIPE)
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}
