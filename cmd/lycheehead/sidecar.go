package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/sidecar"
	"github.com/lycheehead/lycheehead/platform"
)

type sidecarCommand struct {
	Check bool `help:"Check the settings, then stop."`
}

// Run runs the daemon beside one backend server until the process is asked to
// stop.
func (c *sidecarCommand) Run() error {
	s, first, err := read()
	if err != nil {
		return withCode(exitInvalid, "sidecar: %w", err)
	}
	if c.Check {
		return nil
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	http1.DelaySignalShutdown(2 * s.GetBounds().GetGrace().AsDuration())
	bound()
	p := sidecar.NewPlatform(platform.Headers{}, platform.NewStore(s.GetStore()), platform.Decoder{},
		platform.OperatorPrefix, platform.InstancePrefix)
	d, err := sidecar.New(s, p, logs.NewWriter(os.Stdout), first)
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	if err := d.Start(); err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	follow(d, s, signals)
	if err := d.Stop(); err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	return nil
}

// settingsEvery is the time between two looks at the settings file, which may
// change without a signal.
const settingsEvery = 2 * time.Second

// follow lets the daemon take on changed settings until the process is asked to
// stop. Settings that cannot be read change nothing.
func follow(d *sidecar.Daemon, s *schema.Sidecar, signals <-chan os.Signal) {
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
		}
		next, _, err := read()
		switch {
		case err != nil:
			d.ReloadFailed(err)
		case !proto.Equal(s, next):
			d.Reload(next)
			s = next
		}
	}
}

// read reads and checks the settings file. first says that the whole fleet
// starts for the first time.
func read() (s *schema.Sidecar, first bool, err error) {
	loaded, err := platform.LoadSettings()
	if err != nil {
		return nil, false, fmt.Errorf("read settings: %w", err)
	}
	s, err = loaded.Sidecar()
	if err != nil {
		return nil, false, fmt.Errorf("read settings: %w", err)
	}
	return s, loaded.Bootstrap(), nil
}
