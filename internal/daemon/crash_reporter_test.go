package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/backend"
)

// TestCrashMessage guards against daemons of earlier versions that count a report twice: they
// count each Death, and take any gossip message without a sender for a probe. Each line of the
// input is the age of a report, and again if the receiver may have counted it.
func TestCrashMessage(t *testing.T) {
	datadriven.RunTest(t, "testdata/crash_message", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			ageText, again, _ := strings.Cut(line, " ")
			age, err := time.ParseDuration(ageText)
			if err != nil {
				t.Fatal(err)
			}
			crash := time.Unix(1000, 0)
			report := backend.NewCrashReport(5, backend.NewRequestKey("kunde", 7), crash)
			r := crashMessage(crash.Add(age), "doku-1", report, again != "")
			m := r.GetDeath()
			if r.HasGossip() {
				m = r.GetGossip().GetCrash()
			}
			fmt.Fprintf(&out, "%s: death %t, gossip %t from %t; %s %d at %s, id %d, age %s\n", line, r.HasDeath(), r.HasGossip(),
				r.GetGossip().HasFrom(), m.GetCustomer(), m.GetFingerprint(), m.GetBackend(), m.GetId(), m.GetAge().AsDuration())
		}
		return out.String()
	})
}
