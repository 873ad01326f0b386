package main

import (
	"fmt"
	"time"

	"github.com/lycheehead/lycheehead/internal/standin"
)

type platformCommand struct {
	Listen string        `required:"" help:"IP and port."`
	Calls  int           `default:"2000" help:"Calls answered a second."`
	Lag    time.Duration `default:"200ms" help:"Lag of the instance list."`
}

// Run serves until the process is asked to stop.
func (c *platformCommand) Run() error {
	_, stop, err := standin.Serve(c.Listen, standin.NewPlatform(c.Calls, c.Lag))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer stop()
	waitForStop()
	return nil
}
