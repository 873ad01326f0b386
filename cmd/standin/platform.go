package main

import (
	"fmt"
	"time"

	"github.com/lycheehead/lycheehead/internal/standin"
)

type platformCommand struct {
	Listen string        `required:"" help:"IP address and port to listen on."`
	Calls  int           `default:"2000" help:"Maximum calls per second; 0 means no limit."`
	Lag    time.Duration `default:"200ms" help:"Delay until a published instance list becomes visible."`
}

// Run serves until the process receives SIGTERM or SIGINT.
func (c *platformCommand) Run(stop stopSignals) error {
	_, closeServer, err := standin.Serve(c.Listen, standin.NewPlatform(c.Calls, c.Lag))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer closeServer()
	<-stop
	return nil
}
