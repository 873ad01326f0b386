package http1_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestBudget guards against large bodies of less urgent requests that keep the memory from more
// urgent ones, and against smaller ones that are refused in favour of larger ones of the same rank.
// Its lines are
//
//	read NAME RANK KIB: a body of which this much more has arrived, and which may give way
//	take NAME RANK KIB: memory for a whole body, which does not give way once it has it
//	whole NAME, release NAME
//
// Without order=on, all requests have the same rank, so that only the sizes count.
func TestBudget(t *testing.T) {
	datadriven.RunTest(t, "testdata/budget", func(t *testing.T, d *datadriven.TestData) string {
		var kib, order string
		d.ScanArgs(t, "kib", &kib)
		d.ScanArgs(t, "order", &order)
		budget := http1.NewBudget(kibibytes(t, kib))
		leases := make(map[string]*http1.Lease)
		now := time.Unix(1_700_000_000, 0)
		var aborted []string
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			aborted = nil
			ok := true
			switch f[0] {
			case "read", "take":
				rank, err := strconv.Atoi(f[2])
				if err != nil {
					t.Fatal(err)
				}
				if order != "on" {
					rank = 0
				}
				need := caller.NewNeed(caller.NewPriority(false, 0, rank), now.Add(time.Second), now.Add(2*time.Second), 0)
				if f[0] == "take" {
					leases[f[1]], err = budget.Lease(kibibytes(t, f[3]), need)
					ok = err == nil
					break
				}
				if leases[f[1]] == nil {
					leases[f[1]] = budget.BeginReading(need, func() { aborted = append(aborted, f[1]) })
				}
				ok = budget.Grow(leases[f[1]], kibibytes(t, f[3]))
			case "whole":
				ok = budget.EndReading(leases[f[1]])
			case "release":
				leases[f[1]].Release()
			default:
				t.Fatalf("unknown line %q", line)
			}
			fmt.Fprintf(&out, "%s: %s", line, map[bool]string{true: "ok", false: "refused"}[ok])
			slices.Sort(aborted)
			for _, name := range aborted {
				fmt.Fprintf(&out, ", %s gives way", name)
			}
			fmt.Fprintf(&out, ", %d KiB used\n", budget.Used()>>10)
		}
		return out.String()
	})
}

func kibibytes(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n << 10
}
