package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lycheehead/lycheehead/internal/adminhttp"
	"github.com/lycheehead/lycheehead/internal/callerhttp"
	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/settings"
)

// The daemon shares its machine with the backend server: it takes few threads,
// and rather some memory than time for collecting garbage.
const (
	processors  = 2
	gcPercent   = 400
	memoryLimit = 96 << 20
)

// closeBound is what a stop may take after all calls have ended.
const closeBound = 3 * time.Second

type runCommand struct {
	Config string `short:"c" required:"" type:"existingfile" help:"The settings file."`
	Check  bool   `help:"Check the settings and the files they name, then stop."`
}

// Run runs the daemon until the process is asked to stop.
func (c *runCommand) Run() error {
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	http1.OwnStops(settings.ShutdownTimeout(s) + 2*closeBound)
	bound()
	d, err := daemon.New(s, id, newLog(s))
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	servers, err := serve(s, d)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	d.Start()
	<-ctx.Done()
	return shutdown(s, d, servers)
}

// bound sets what the process takes of the machine, unless its environment says
// otherwise.
func bound() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(processors, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memoryLimit)
	}
}

func newLog(s *schema.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "lycheehead",
		Level:      hclog.LevelFromString(settings.LogLevel(s)),
		Output:     os.Stderr,
		JSONFormat: true,
	}).With("slot", s.GetName(), "centre", s.GetCentre())
}

// serve opens the addresses for callers, for the backend server's own calls and
// for operators.
func serve(s *schema.Settings, d *daemon.Daemon) ([]*http1.Server, error) {
	l := s.GetListen()
	admin, err := http1.Listen("admin", l.GetAdmin(), adminhttp.NewHandler(d))
	if err != nil {
		return nil, fmt.Errorf("serve operators: %w", err)
	}
	local, err := http1.Listen("local", l.GetLocal(), callerhttp.NewLocalHandler(d))
	if err != nil {
		return nil, fmt.Errorf("serve backend server: %w", err)
	}
	callers, err := http1.Listen("caller", l.GetCaller(), callerhttp.NewHandler(d))
	if err != nil {
		return nil, fmt.Errorf("serve callers: %w", err)
	}
	return []*http1.Server{callers, local, admin}, nil
}

// shutdown stops within the settings' bound: refuse new work, let finish what
// runs, then close.
func shutdown(s *schema.Settings, d *daemon.Daemon, servers []*http1.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownTimeout(s))
	defer cancel()
	err := d.Drain(ctx)
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	if e := d.Close(); e != nil {
		err = errors.Join(err, e)
	}
	if err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
