package main

import (
	"fmt"
	"time"

	"github.com/lycheehead/lycheehead/internal/standin"
)

type backendCommand struct {
	Listen      string        `required:"" help:"IP address and port to listen on."`
	Slots       int           `default:"9" help:"Requests that can run at once."`
	Connections int           `default:"120" help:"Connections that can be open at once."`
	Work        time.Duration `default:"5ms" help:"Service time of a request."`
	Cold        time.Duration `default:"1s" help:"Time after a start until all slots are available."`
	Down        time.Duration `default:"500ms" help:"Time between a crash and the restart."`
	Local       string        `help:"Address of the daemon to which the backend server sends its own calls."`
}

// Run serves until the process receives SIGTERM or SIGINT.
func (c *backendCommand) Run(stop stopSignals) error {
	model := standin.NewBackendModel(c.Slots, c.Connections, c.Work).
		WithColdStart(c.Cold).WithRestartDelay(c.Down).WithLocalDaemon(c.Local)
	b := standin.NewBackend(model)
	if _, err := b.Start(c.Listen); err != nil {
		return fmt.Errorf("backend: %w", err)
	}
	defer b.Stop()
	<-stop
	return nil
}
