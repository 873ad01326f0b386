package main

import (
	"context"
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheehead/lycheehead/internal/load"
)

type loadCommand struct {
	Plan string `arg:"" type:"existingfile" help:"Plan file, in YAML."`
	Out  string `short:"o" help:"File to which the report is appended as a line of JSON."`
}

// Run runs a plan. The exit code is exitViolation if a guarantee was violated.
func (c *loadCommand) Run() error {
	plan, err := load.ReadPlan(c.Plan)
	if err != nil {
		return withCode(exitInvalid, "%w", err)
	}
	report, err := load.NewRunner(plan).Run(context.Background())
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	fmt.Print(load.FormatTable(report))
	if c.Out != "" {
		line := protojson.MarshalOptions{UseProtoNames: true}.Format(report) + "\n"
		if err := appendReport(c.Out, line); err != nil {
			return err
		}
	}
	if n := load.Violations(report); n > 0 {
		return withCode(exitViolation, "violations of guarantees: %d", n)
	}
	return nil
}

func appendReport(path, line string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if _, err := f.WriteString(line); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
