package main

import (
	"fmt"
	stdlog "log"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lycheehead/lycheehead/internal/logs"
)

// outputTimeout bounds the time for writing out the last lines at the end of a daemon.
const outputTimeout = 100 * time.Millisecond

// splitStandardError returns standard error with writes that wait for the reader of a pipe, for
// the log. Other writes to it, such as the stack trace of a crash, do not wait any more, so that
// the process ends. That is possible for pipes only.
func splitStandardError() *os.File {
	var stat syscall.Stat_t
	if err := syscall.Fstat(syscall.Stderr, &stat); err != nil || stat.Mode&syscall.S_IFMT != syscall.S_IFIFO {
		return os.Stderr
	}
	// O_NONBLOCK must not affect the other processes that share standard error, so the pipe is
	// opened again.
	nonblocking, err := syscall.Open("/proc/self/fd/2", syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if err != nil {
		return os.Stderr
	}
	defer func() { _ = syscall.Close(nonblocking) }()
	waiting, err := syscall.Dup(syscall.Stderr)
	if err != nil {
		return os.Stderr
	}
	f := os.NewFile(uintptr(waiting), os.Stderr.Name())
	if err := syscall.Dup3(nonblocking, syscall.Stderr, 0); err != nil {
		_ = f.Close()
		return os.Stderr
	}
	return f
}

// libraryLog makes the lines that libraries write to the standard logger lines of a daemon's
// log.
type libraryLog struct {
	out *logs.Writer
	log hclog.Logger
}

// captureLibraryLog captures what libraries write to the standard logger. It would otherwise
// write to standard error and wait for its reader.
func captureLibraryLog(out *logs.Writer, log hclog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&libraryLog{out: out, log: log})
}

// Write implements io.Writer.
func (l *libraryLog) Write(p []byte) (int, error) {
	if l.out.Allow(logs.Library) {
		l.log.Warn("library", "text", strings.TrimSpace(string(p)))
	}
	return len(p), nil
}

// failDaemon is like fail, but does not wait for a standard error that nobody reads.
func failDaemon(stderr *os.File, err error) {
	out := logs.NewWriter(stderr)
	_, _ = fmt.Fprintln(out, "lycheehead:", err)
	out.Close(outputTimeout)
	os.Exit(exitCode(err))
}
