package platformhttp_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/platformhttp"
)

// TestLimit reads values and lists of instances of the given sizes in bytes.
func TestLimit(t *testing.T) {
	size := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platformhttp.RevisionHeader, "7")
		// An empty list, followed by white space.
		_, _ = w.Write(append([]byte("{}"), bytes.Repeat([]byte(" "), size-2)...))
	}))
	defer server.Close()
	c := platformhttp.New([]string{strings.TrimPrefix(server.URL, "http://")})
	datadriven.RunTest(t, "testdata/limit", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			var err error
			if size, err = strconv.Atoi(line); err != nil {
				t.Fatal(err)
			}
			result := "ok"
			switch d.Cmd {
			case "value":
				var v platformhttp.Value
				v, err = c.Read(context.Background(), "k")
				result = fmt.Sprintf("%d bytes", len(v.Data()))
			case "instances":
				_, err = c.Instances(context.Background(), 0, 0)
			}
			switch {
			case errors.Is(err, platformhttp.ErrTooLong):
				result = "too long"
			case err != nil:
				result = err.Error()
			}
			fmt.Fprintf(&out, "%s: %s\n", line, result)
		}
		return out.String()
	})
}
