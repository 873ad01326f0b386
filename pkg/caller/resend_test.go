package caller_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestResendBudget runs scripts against a budget with a ratio of 0.2 and a slack
// of 60 in 10 s, of which the daemon's share is a tenth.
func TestResendBudget(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/sends", func(t *testing.T, d *datadriven.TestData) string {
		b := caller.NewResendBudget(0.2, 60, 10*time.Second)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			after, err := time.ParseDuration(f[0])
			if err != nil {
				t.Fatal(err)
			}
			n, err := strconv.Atoi(f[2])
			if err != nil {
				t.Fatal(err)
			}
			now, allowed := begin.Add(after), 0
			for range n {
				if f[1] == "first" {
					b.RecordRequest(now, "documents")
				} else if b.AllowResend(now, "documents", 0.1) {
					allowed++
				}
			}
			fmt.Fprintf(&out, "%s: %d\n", line, allowed)
		}
		return out.String()
	})
}

func ExampleResendBudget() {
	b := caller.NewResendBudget(0.2, 60, 10*time.Second)
	now := time.Unix(0, 0)
	b.RecordRequest(now, "documents")
	fmt.Println(b.AllowResend(now, "documents", 0.1))
	// Output: true
}
