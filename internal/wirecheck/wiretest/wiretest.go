// Package wiretest tests that clients reject messages that are not valid responses.
package wiretest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// RunMalformed runs the script testdata/malformed. Each line of its input is the beginning of a
// response, which a server completes with the length of body and body itself. read reads it from the
// server at an address. The output says for each line whether that succeeded.
func RunMalformed(t *testing.T, body string, read func(t *testing.T, address string) error) {
	datadriven.RunTest(t, "testdata/malformed", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			head, err := strconv.Unquote(`"` + line + `"`)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				_ = c.Close()
			}))
			err = read(t, strings.TrimPrefix(server.URL, "http://"))
			server.Close()
			fmt.Fprintf(&out, "%s: read %t\n", line, err == nil)
		}
		return out.String()
	})
}
