package main

import (
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/sidecar"
	"github.com/lycheehead/lycheehead/platform"
)

type sidecarCommand struct {
	Check bool `help:"Check the settings, then exit."`
}

// Run runs the daemon beside a backend server until the process receives SIGTERM or
// SIGINT.
func (c *sidecarCommand) Run(received *signals) error {
	s, firstStart, err := loadSettings()
	if err != nil {
		return withCode(exitInvalid, "sidecar: %w", err)
	}
	if c.Check {
		return nil
	}
	limitResources()
	out := logs.NewWriter(os.Stdout)
	captureLibraryLog(out, logs.NewLogger(out, hclog.Info, "daemon", s.GetName(), "centre", s.GetCentre()))
	store := platform.NewStore(s.GetStore())
	p := sidecar.NewPlatform(platform.Headers{}, store, platform.NewDecoder(), platform.OperatorPrefix, platform.InstancePrefix)
	d, err := sidecar.New(s, p, out, firstStart)
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	store.SetOnUnreadable(d.ItemSkipped)
	if err := d.Start(); err != nil {
		out.Close(outputTimeout)
		return fmt.Errorf("sidecar: %w", err)
	}
	go watchSettings(d, s, received.reload)
	received.awaitStop()
	if err := d.Stop(); err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	return nil
}

// settingsPollInterval is the interval at which the settings file is read, since it
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the daemon when its settings change, until the process ends. A signal
// to reload makes it read the settings at once. Settings that cannot be read are reported to
// the daemon and not applied.
func watchSettings(d *sidecar.Daemon, s *schema.Sidecar, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-reload:
		}
		next, _, err := loadSettings()
		switch {
		case err != nil:
			d.ReloadFailed(err)
		case !proto.Equal(s, next):
			d.Reload(next)
			s = next
		}
	}
}

// loadSettings reads and validates the settings file. firstStart reports whether the
// whole fleet starts for the first time.
func loadSettings() (s *schema.Sidecar, firstStart bool, err error) {
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
