package lock_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// TestOrder runs scripts in which one goroutine locks and unlocks mutexes. Without
// the build tag lockcheck, the order is not checked; the script free verifies that.
func TestOrder(t *testing.T) {
	path := "testdata/free"
	if lock.Checked {
		path = "testdata/checked"
	}
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		held := make(map[string]*lock.Mutex)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			op, name, _ := strings.Cut(line, " ")
			fmt.Fprintln(&out, line+":", runStep(t, held, op, name))
		}
		for _, m := range held {
			m.Unlock()
		}
		return out.String()
	})
}

func runStep(t *testing.T, held map[string]*lock.Mutex, op, name string) (result string) {
	defer func() {
		if p := recover(); p != nil {
			result = fmt.Sprint("panic: ", p)
		}
	}()
	rank, err := strconv.Atoi(name)
	if err != nil {
		t.Fatal(err)
	}
	switch op {
	case "lock":
		m := lock.New(lock.Rank(rank))
		m.Lock()
		held[name] = m
	case "unlock":
		held[name].Unlock()
		delete(held, name)
	}
	return "ok"
}
