// Command meter computes the measures of runs, compares them and plots them.
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

// commands defines the subcommands. Its fields are exported because kong sets them.
type commands struct {
	Run       runCommand       `cmd:"" help:"Compute the measures of a run and print them as a JSON line."`
	Compare   compareCommand   `cmd:"" help:"Print results side by side, with their ratios to the first."`
	Plot      plotCommand      `cmd:"" help:"Plot the percentage of requests served in each second of a run."`
	Converged convergedCommand `cmd:"" help:"Print statistics of the times until published versions were in force."`
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
	Folder     string        `arg:"" help:"Directory with the output of the run."`
	Deployment string        `required:"" help:"Name of the deployment, as a label of the result."`
	Policy     string        `required:"" help:"Name of the policy, as a label of the result."`
	Quiet      time.Duration `required:"" help:"Duration of the period without changes."`
	Busy       time.Duration `required:"" help:"Duration of the period with changes."`
	Lost       int           `required:"" help:"Second of the run in which a data centre fails."`
	Processor  float64       `help:"Mean CPU usage of a daemon in percent of a core."`
	Memory     float64       `help:"Mean resident memory of a daemon in megabytes."`
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
	Files []string `arg:"" type:"existingfile" help:"Files with results, one per line in JSON."`
}

// Run prints a table of all results.
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
	Report string `arg:"" type:"existingfile" help:"Report of the load tool in JSON."`
	Out    string `short:"o" required:"" help:"PNG file to write."`
}

// Run plots the requests served according to a report.
func (c *plotCommand) Run() error {
	report, err := measure.ReadReport(c.Report)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return measure.PlotServed(c.Out, report)
}

type convergedCommand struct {
	Folder    string `arg:"" help:"Directory with the logs of the daemons."`
	Published string `arg:"" help:"File with the version numbers and their publish times."`
}

// Run prints the median, the 99th percentile and the maximum of the convergence times over
// all versions and daemons.
func (c *convergedCommand) Run() error {
	published, err := measure.ReadPublishTimes(c.Published)
	if err != nil {
		return fmt.Errorf("converged: %w", err)
	}
	times, err := measure.ConvergenceTimes(c.Folder, published)
	if err != nil {
		return fmt.Errorf("converged: %w", err)
	}
	if len(times) == 0 {
		return nil
	}
	slices.Sort(times)
	fmt.Printf("  in force: median %s, 99th percentile %s, worst %s, over %d\n", times[len(times)/2],
		times[len(times)*99/100], times[len(times)-1], len(times))
	return nil
}
