package main

import (
	"fmt"
	stdlog "log"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lycheehead/lycheehead/internal/logs"
)

// outputTimeout bounds the time for writing out the last lines at the end of a daemon.
const outputTimeout = 100 * time.Millisecond

// newLogger returns a logger that adds fields to each line.
func newLogger(out *logs.Writer, level string, fields ...any) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "lycheehead",
		Level:      hclog.LevelFromString(level),
		Output:     out,
		JSONFormat: true,
	}).With(fields...)
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
func failDaemon(err error) {
	out := logs.NewWriter(os.Stderr)
	_, _ = fmt.Fprintln(out, "lycheehead:", err)
	out.Close(outputTimeout)
	os.Exit(exitCode(err))
}
