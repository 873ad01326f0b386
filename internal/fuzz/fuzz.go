// Package fuzz runs properties over random histories with budgets and seeds
// from data files, so that each run gives the same verdict.
//
// A case names a property, the number of histories and the seed. One marked
// broken runs a mechanism switched off, or a naive version, and has to be found
// out: that shows that the property can fail. The environment can give a longer
// run: LYCHEEHEAD_FUZZ multiplies the histories and takes a random seed.
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

// Property checks one history. broken says that a mechanism is to be off.
type Property func(t *rapid.T, broken bool)

// checkedShare is the part of the histories that run with checked locks.
const checkedShare = 20

// longer is the environment's name for a longer run.
const longer = "LYCHEEHEAD_FUZZ"

// Run runs the cases of the data file at path.
func Run(t *testing.T, path string, properties map[string]Property) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		property, ok := properties[d.Cmd]
		if !ok {
			t.Fatalf("there is no property %q", d.Cmd)
		}
		var histories, steps, seed int
		d.ScanArgs(t, "histories", &histories)
		d.ScanArgs(t, "steps", &steps)
		d.ScanArgs(t, "seed", &seed)
		if d.HasArg("broken") {
			// That it fails is all that is asked, not how in the fewest steps.
			set(histories, steps, seed, "0s")
			return found(property)
		}
		if lock.Checked {
			// Checked locks are slow; the unchecked run has the whole budget.
			histories = max(histories/checkedShare, 1)
		}
		if factor, err := strconv.Atoi(os.Getenv(longer)); err == nil {
			histories *= factor
			seed = 0
		}
		set(histories, steps, seed, "30s")
		rapid.Check(t, func(t *rapid.T) { property(t, false) })
		return "held\n"
	})
}

func set(histories, steps, seed int, shrink string) {
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

// found runs a property that has to fail.
func found(property Property) string {
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

// errFailed unwinds a property that has failed.
var errFailed = eris.New("property failed")

// recorder notes a failure where a test would fail.
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
