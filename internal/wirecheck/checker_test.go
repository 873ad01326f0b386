package wirecheck_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/wirecheck"
)

// check passes a stream to a checker in pieces of a size and describes what may be parsed.
func check(method, stream string, size int) string {
	var c wirecheck.Checker
	c.Begin(method)
	parsed := 0
	for rest := stream; rest != ""; {
		piece := rest[:min(size, len(rest))]
		n, err := c.Check([]byte(piece))
		parsed += n
		if err != nil {
			return fmt.Sprintf("%q, %v", stream[:parsed], err)
		}
		rest = rest[len(piece):]
	}
	if c.UntilClose() {
		return "all, until the connection ends"
	}
	return "all"
}

// TestChecker guards against a check that follows other messages than the parser behind it: it
// would fail valid responses, or pass malformed ones. Each line of the input is what a server sends
// to requests with the method of the command. It is passed as a whole and in pieces of each size.
func TestChecker(t *testing.T) {
	datadriven.RunTest(t, "testdata/checker", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			stream, err := strconv.Unquote(`"` + line + `"`)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			result := check(d.Cmd, stream, len(stream))
			for size := 1; size < len(stream); size++ {
				if got := check(d.Cmd, stream, size); got != result {
					t.Errorf("%s in pieces of %d: %s, as a whole: %s", line, size, got, result)
				}
			}
			fmt.Fprintf(&out, "%s\n  %s\n", line, result)
		}
		return out.String()
	})
}

// BenchmarkChecker checks the head of a usual response. Machines have a part of a core.
func BenchmarkChecker(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: 9f8b7c6d5e4f\r\n" +
		"Date: Mon, 07 Dec 2026 02:50:01 GMT\r\nLycheehead-Report: CAEQARgBIAEoATABOAFAAUgBUAFYAWAB\r\n" +
		"Cache-Control: no-store\r\nContent-Length: 4\r\n\r\nbody")
	var c wirecheck.Checker
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Check(head); err != nil {
			b.Fatal(err)
		}
	}
}
