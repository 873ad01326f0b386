package main

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/lycheehead/lycheehead/internal/emulate"
)

type emulateCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Plans. The first may be a whole fleet and the others changes to it: they are read as one text."`
	Seeds uint64   `default:"1" help:"Number of seeds to play, from the plan's own on."`
}

// Run plays a plan with each seed and prints what became of the requests.
func (c *emulateCommand) Run() error {
	var text []byte
	for _, f := range c.Files {
		part, err := os.ReadFile(f)
		if err != nil {
			return fmt.Errorf("read plan: %w", err)
		}
		text = append(append(text, part...), '\n')
	}
	plan, err := emulate.ReadPlan(c.Files[0], text)
	if err != nil {
		return withCode(exitInvalid, "%w", err)
	}
	total, first := 0.0, plan.GetSeed()
	for n := range c.Seeds {
		plan.SetSeed(first + n)
		scores := emulate.NewSimulation(plan).Run()
		fmt.Printf("seed %d\n", plan.GetSeed())
		for _, name := range slices.Sorted(maps.Keys(scores)) {
			fmt.Println(" ", scores[name])
		}
		worth := emulate.TotalUtility(scores)
		fmt.Printf("  worth %.3f\n", worth)
		total += worth
	}
	if c.Seeds > 1 {
		fmt.Printf("mean worth %.3f\n", total/float64(c.Seeds))
	}
	return nil
}
