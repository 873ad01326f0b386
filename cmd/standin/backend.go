package main

import (
	"fmt"
	"time"

	"github.com/lycheehead/lycheehead/internal/standin"
)

type backendCommand struct {
	Listen      string        `required:"" help:"IP and port."`
	Slots       int           `default:"9" help:"Requests that run at once."`
	Connections int           `default:"120" help:"Connections at once."`
	Work        time.Duration `default:"5ms" help:"Time that a request takes."`
	Cold        time.Duration `default:"1s" help:"Time until a fresh start bears all slots."`
	Down        time.Duration `default:"500ms" help:"Time that a crash takes."`
	Local       string        `help:"Address of the daemon for the backend server's own calls."`
}

// Run serves until the process is asked to stop.
func (c *backendCommand) Run() error {
	model := standin.NewBackendModel(c.Slots, c.Connections, c.Work).WithColdStart(c.Cold).WithRestartDelay(c.Down).WithLocalDaemon(c.Local)
	b := standin.NewBackend(model)
	if _, err := b.Start(c.Listen); err != nil {
		return fmt.Errorf("backend: %w", err)
	}
	defer b.Stop()
	waitForStop()
	return nil
}
