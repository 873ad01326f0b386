// Package fuzz checks properties on random histories. A history is a sequence of random
// steps. The number of histories and the seeds come from data files, so that test runs are
// reproducible.
//
// A case states a property, the number of histories, the steps per history and the seed.
// A case with the argument broken checks the property on a faulty implementation, which
// has a mechanism disabled or replaced by a naive version. It expects the check to fail,
// which shows that the property can detect the fault.
//
// If the environment variable LYCHEEHEAD_FUZZ is set to a number, the number of histories
// is multiplied by it and each run uses a random seed. Cases with the argument broken
// ignore it.
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// Property checks one history. broken selects the faulty implementation.
type Property func(t *rapid.T, broken bool)

// lockcheckDivisor reduces the number of histories in builds with the lock order check,
// which is slow. The other builds run all of them.
const lockcheckDivisor = 20

// factorVariable is the environment variable that requests a longer run.
const factorVariable = "LYCHEEHEAD_FUZZ"

// Run runs the cases of the data file at path.
func Run(t *testing.T, path string, properties map[string]Property) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		property, ok := properties[d.Cmd]
		if !ok {
			t.Fatalf("unknown property %q", d.Cmd)
		}
		var histories, steps, seed int
		d.ScanArgs(t, "histories", &histories)
		d.ScanArgs(t, "steps", &steps)
		d.ScanArgs(t, "seed", &seed)
		if d.HasArg("broken") {
			// The failure is expected, so there is no need to shrink it.
			setFlags(histories, steps, seed, "0s")
			return expectFailure(property)
		}
		if lock.Checked {
			histories = max(histories/lockcheckDivisor, 1)
		}
		if factor, err := strconv.Atoi(os.Getenv(factorVariable)); err == nil {
			histories *= factor
			seed = 0
		}
		setFlags(histories, steps, seed, "30s")
		rapid.Check(t, func(t *rapid.T) { property(t, false) })
		return "held\n"
	})
}

func setFlags(histories, steps, seed int, shrink string) {
	for name, value := range map[string]int{"checks": histories, "steps": steps, "seed": seed} {
		if err := flag.Set("rapid."+name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
	for name, value := range map[string]string{"nofailfile": "true", "shrinktime": shrink} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// expectFailure checks a property that is expected to fail.
func expectFailure(property Property) string {
	r := &recorder{}
	func() {
		defer func() {
			if p := recover(); p != nil && p != any(errFailed) {
				panic(p)
			}
		}()
		rapid.Check(r, func(t *rapid.T) { property(t, true) })
	}()
	if r.failed {
		return "found out\n"
	}
	return "not found out\n"
}

// errFailed is the value of the panic that aborts a check that failed or was skipped.
var errFailed = eris.New("property failed")

// recorder implements rapid.TB. It records a failure instead of failing the test.
type recorder struct {
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Name() string          { return "broken" }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Skipf(string, ...any)  { panic(errFailed) }
func (r *recorder) Skip(...any)           { panic(errFailed) }
func (r *recorder) SkipNow()              { panic(errFailed) }
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }

func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Fatal(...any)          { r.FailNow() }

func (r *recorder) FailNow() {
	r.failed = true
	panic(errFailed)
}
