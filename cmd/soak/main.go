// Command soak runs the sidecar daemon as separate processes, disrupts them by a schedule that
// follows from a seed, and checks the rules for requests meanwhile.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lycheehead/lycheehead/internal/soak"
)

// command defines the flags. Its fields are exported because kong sets them.
type command struct {
	Program  string        `type:"existingfile" default:"target/lycheehead" help:"The program."`
	Seed     uint64        `default:"1" help:"Seed of the schedule and of the requests."`
	Size     int           `default:"12" help:"Number of instances."`
	Length   time.Duration `default:"60s" help:"Duration of the load."`
	Lanes    []string      `help:"Kinds of disruptions (stops, settings, backends, logs, failures, network, store). Drawn from the seed by default."`
	Callers  int           `default:"6" help:"Callers of each instance."`
	Pause    time.Duration `default:"200ms" help:"Longest pause of a caller between two requests."`
	Schedule bool          `help:"Print the schedule, then exit."`
}

// Run plays a soak.
func (c *command) Run() error {
	o := soak.NewOptions(c.Program, c.Seed, c.Size, c.Length, soak.NewLoad(c.Callers, c.Pause), c.Lanes...)
	if c.Schedule {
		fmt.Print(soak.Schedule(o))
		return nil
	}
	broken, err := soak.Run(o, os.Stdout)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	if len(broken) > 0 {
		return errBroken
	}
	return nil
}

var errBroken = errors.New("rules were broken")

func main() {
	var c command
	ctx := kong.Parse(&c, kong.Name("soak"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
