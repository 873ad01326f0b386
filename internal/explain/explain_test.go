package explain_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/explain"
)

// TestExplain prints the histories of requests in sample logs.
func TestExplain(t *testing.T) {
	datadriven.RunTest(t, "testdata/explain", func(t *testing.T, d *datadriven.TestData) string {
		h, err := explain.Read(strings.NewReader(d.Input), d.CmdArgs[0].Key)
		if err != nil {
			return err.Error() + "\n"
		}
		var out strings.Builder
		if !h.Found() {
			out.WriteString("unknown\n")
		}
		if _, err := h.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		// Depending on the build, protobuf separates words in its errors by a space or a
		// non-breaking space.
		return strings.ReplaceAll(out.String(), "\u00a0", " ")
	})
}
