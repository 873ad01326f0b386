package soak

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPlan prints the schedules of seeds.
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, d *datadriven.TestData) string {
		return Schedule(options(t, d, ""))
	})
}

// options returns the options in the arguments of a case.
func options(t *testing.T, d *datadriven.TestData, program string) Options {
	var seed uint64
	size, callers, length, pause := 12, 6, "60s", "200ms"
	var lanes []string
	d.ScanArgs(t, "seed", &seed)
	d.MaybeScanArgs(t, "size", &size)
	d.MaybeScanArgs(t, "length", &length)
	d.MaybeScanArgs(t, "callers", &callers)
	d.MaybeScanArgs(t, "pause", &pause)
	for _, a := range d.CmdArgs {
		if a.Key == "lanes" {
			lanes = a.Vals
		}
	}
	return NewOptions(program, seed, size, duration(t, length), NewLoad(callers, duration(t, pause)), lanes...)
}

func duration(t *testing.T, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}
