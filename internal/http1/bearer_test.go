package http1_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// TestBearerToken guards against callers who present a key in an unusual form and are taken for
// anonymous ones. Each line of a script is the value of an Authorization field.
func TestBearerToken(t *testing.T) {
	datadriven.RunTest(t, "testdata/bearer", func(_ *testing.T, d *datadriven.TestData) string {
		h := http.Header{}
		if d.Cmd == "fields" {
			for value := range strings.SplitSeq(d.Input, "\n") {
				h.Add("Authorization", strings.Trim(value, `"`))
			}
		}
		token, presented := http1.BearerToken(h)
		return fmt.Sprintf("%q, presented %t\n", token, presented)
	})
}

func ExampleBearerToken() {
	token, presented := http1.BearerToken(http.Header{"Authorization": {"Bearer c2VjcmV0"}})
	fmt.Println(token, presented)
	// Output: c2VjcmV0 true
}
