package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"github.com/lycheehead/lycheehead/internal/adminhttp"
	"github.com/lycheehead/lycheehead/internal/callerhttp"
	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/settings"
)

// Resources of the process. The daemon shares its machine with the backend server, so
// it uses few threads. Garbage is collected when the heap has grown by gcPercent: less often
// needs more memory at the peak of a burst, more often CPU time that requests need then.
const (
	maxProcs         = 2
	gcPercent        = 100
	memoryLimitBytes = 96 << 20
)

type runCommand struct {
	Config string `short:"c" required:"" type:"existingfile" help:"Settings file."`
	Check  bool   `help:"Check the settings and the files that they name, then exit."`
}

// Run runs the daemon until the process receives SIGTERM or SIGINT.
func (c *runCommand) Run(received *signals, stderr *os.File) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return withCode(exitInvalid, "settings: %w", err)
	}
	id, err := settings.LoadIdentity(s)
	if err != nil {
		return withCode(exitInvalid, "settings: %w", err)
	}
	if c.Check {
		return nil
	}
	limitResources()
	out := logs.NewWriter(stderr)
	defer out.Close(outputTimeout)
	log := logs.NewLogger(out, hclog.LevelFromString(settings.LogLevel(s)), "slot", s.GetName(), "centre", s.GetCentre())
	captureLibraryLog(out, log)
	d, err := daemon.New(s, id, log)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	d.SetLogOutput(out)
	servers, err := serve(s, d, func(value any, stack []byte) {
		log.Error("panic", "value", fmt.Sprint(value), "stack", string(stack))
	})
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	d.Start()
	go logHangups(received.reload, log)
	received.awaitStop()
	if err := d.Stop(settings.ShutdownTimeout(s), servers); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

// limitResources limits the threads and the memory of the process. GOMAXPROCS and GOGC
// in the environment take precedence.
func limitResources() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

// logHangups logs each SIGHUP, which has no other effect.
func logHangups(hangups <-chan os.Signal, log hclog.Logger) {
	for range hangups {
		log.Warn("hangup ignored", "reason", "settings are read only at the start")
	}
}

// serve opens the listeners for callers, for the requests of the backend server and
// for operators. onPanic is called when the handling of a request panics.
func serve(s *schema.Settings, d *daemon.Daemon, onPanic func(value any, stack []byte)) ([]http1.Server, error) {
	l := s.GetListen()
	admin, err := http1.Listen("admin", l.GetAdmin(), adminhttp.NewHandler(d))
	if err != nil {
		return nil, fmt.Errorf("open admin listener: %w", err)
	}
	local, err := http1.ListenPipelined(l.GetLocal(), callerhttp.NewLocalHandler(d), onPanic, nil)
	if err != nil {
		return nil, fmt.Errorf("open local listener: %w", err)
	}
	callers, err := http1.ListenPipelined(l.GetCaller(), callerhttp.NewHandler(d), onPanic, nil)
	if err != nil {
		return nil, fmt.Errorf("open caller listener: %w", err)
	}
	return []http1.Server{callers, local, admin}, nil
}
