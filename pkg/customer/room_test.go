package customer_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/customer"
)

// TestRoom lends the tokens of limits to a customer that sends at the rate of its limit, and
// prints the share that is admitted beside the room of the limit's largest part. It guards against a
// verdict on a configuration that differs from what daemons do: without room for one token, nothing is
// admitted or little. Each line of the input is a rate and a burst.
func TestRoom(t *testing.T) {
	datadriven.RunTest(t, "testdata/room", func(t *testing.T, d *datadriven.TestData) string {
		var centres int
		var window, over, slack float64
		scanNumbers(t, d, map[string]*float64{"window": &window, "over": &over, "slack": &slack})
		d.ScanArgs(t, "centres", &centres)
		bound := customer.NewRateBound(time.Duration(window*float64(time.Second)), over, slack)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			var rate, burst float64
			if _, err := fmt.Sscan(line, &rate, &burst); err != nil {
				t.Fatal(err)
			}
			limit := customer.NewLimit("customer-1", rate, burst, centres)
			s := customerLoad{centres: max(1, centres), seconds: int(max(60, 100/rate)), fraction: 1}
			h := newBoundedHistory(s, bound, limit, rate, 1)
			h.run()
			least, most := bound.Room(limit)
			fmt.Fprintf(&out, "%s: room for %.2f to %.2f, admitted %.0f%%\n", line, least, most, 100*float64(len(h.admittedAt))/(rate*float64(s.seconds)))
		}
		return out.String()
	})
}

func scanNumbers(t *testing.T, d *datadriven.TestData, into map[string]*float64) {
	t.Helper()
	for name, value := range into {
		var text string
		d.ScanArgs(t, name, &text)
		var err error
		if *value, err = strconv.ParseFloat(text, 64); err != nil {
			t.Fatal(err)
		}
	}
}
