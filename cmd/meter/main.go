// Command meter works out the measures of runs, compares them and plots them.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheehead/lycheehead/internal/measure"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// commands is filled by the command line library, which needs exported fields.
type commands struct {
	Run       runCommand       `cmd:"" help:"Work out the measures of one run and print them as a JSON line."`
	Compare   compareCommand   `cmd:"" help:"Print results beside each other, with ratios to the first."`
	Plot      plotCommand      `cmd:"" help:"Plot the service of each second of a run."`
	Converged convergedCommand `cmd:"" help:"Print how long versions took to be in force everywhere."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("meter"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "meter:", err)
		os.Exit(1)
	}
}

type runCommand struct {
	Folder     string        `arg:"" help:"What the run left behind."`
	Deployment string        `required:""`
	Policy     string        `required:""`
	Quiet      time.Duration `required:"" help:"Time without changes."`
	Busy       time.Duration `required:"" help:"Time with changes."`
	Lost       int           `required:"" help:"Second in which a data centre is lost."`
	Processor  float64       `help:"Percent of a core that a daemon took."`
	Memory     float64       `help:"Resident megabytes of a daemon."`
}

// Run prints the measures of a run.
func (c *runCommand) Run() error {
	m, err := measure.NewRunOutput(c.Folder, c.Deployment, c.Policy, c.Quiet, c.Busy, c.Lost).ComputeMeasure()
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	m.SetProcessor(c.Processor)
	m.SetMemory(c.Memory)
	fmt.Println(protojson.MarshalOptions{UseProtoNames: true}.Format(m))
	return nil
}

type compareCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Files of results."`
}

// Run prints results beside each other.
func (c *compareCommand) Run() error {
	var all []*schema.Measure
	for _, path := range c.Files {
		results, err := measure.ReadResults(path)
		if err != nil {
			return fmt.Errorf("compare: %w", err)
		}
		all = append(all, results...)
	}
	if len(all) > 0 {
		fmt.Print(measure.FormatTable(all))
	}
	return nil
}

type plotCommand struct {
	Report string `arg:"" type:"existingfile" help:"A report of the load tool."`
	Out    string `short:"o" required:"" help:"The PNG."`
}

// Run plots a report.
func (c *plotCommand) Run() error {
	report, err := measure.ReadReport(c.Report)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return measure.PlotServed(c.Out, report)
}

type convergedCommand struct {
	Folder    string `arg:"" help:"The folder of the daemons' logs."`
	Published string `arg:"" help:"When each version was published."`
}

// Run prints how long versions took to be in force.
func (c *convergedCommand) Run() error {
	published, err := measure.ReadPublishTimes(c.Published)
	if err != nil {
		return fmt.Errorf("converged: %w", err)
	}
	took, err := measure.ConvergenceTimes(c.Folder, published)
	if err != nil {
		return fmt.Errorf("converged: %w", err)
	}
	if len(took) == 0 {
		return nil
	}
	slices.Sort(took)
	fmt.Printf("  in force: median %s, 99th percentile %s, worst %s, over %d\n", took[len(took)/2],
		took[len(took)*99/100], took[len(took)-1], len(took))
	return nil
}
