package main

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/lycheehead/lycheehead/internal/emulate"
)

type emulateCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Plan files. They are concatenated, so that the first can describe a fleet and the others changes to it."`
	Seeds uint64   `default:"1" help:"Number of seeds to run, starting with the plan's seed."`
}

// Run runs a plan once per seed and prints the outcomes of the requests.
func (c *emulateCommand) Run() error {
	var planText []byte
	for _, path := range c.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read plan: %w", err)
		}
		planText = append(append(planText, text...), '\n')
	}
	plan, err := emulate.ReadPlan(c.Files[0], planText)
	if err != nil {
		return withCode(exitInvalid, "%w", err)
	}
	total, remote, firstSeed := 0.0, 0, plan.GetSeed()
	for n := range c.Seeds {
		plan.SetSeed(firstSeed + n)
		scores := emulate.NewSimulation(plan).Run()
		fmt.Printf("seed %d\n", plan.GetSeed())
		for _, name := range slices.Sorted(maps.Keys(scores)) {
			fmt.Println(" ", scores[name])
			remote += scores[name].Remote()
		}
		utility := emulate.TotalUtility(scores)
		fmt.Printf("  worth %.3f\n", utility)
		total += utility
	}
	if c.Seeds > 1 {
		fmt.Printf("mean worth %.3f, %d requests sent to another data centre\n", total/float64(c.Seeds), remote/int(c.Seeds)) //nolint:gosec // a small number
	}
	return nil
}
