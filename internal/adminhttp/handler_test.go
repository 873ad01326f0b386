package adminhttp_test

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

	"github.com/lycheehead/lycheehead/internal/adminhttp"
)

// TestLimit fetches statuses of the given sizes in bytes.
func TestLimit(t *testing.T) {
	size := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// An empty status, followed by white space.
		_, _ = w.Write(append([]byte("{}"), bytes.Repeat([]byte(" "), size-2)...))
	}))
	defer server.Close()
	datadriven.RunTest(t, "testdata/limit", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			var err error
			if size, err = strconv.Atoi(line); err != nil {
				t.Fatal(err)
			}
			result := "ok"
			_, err = adminhttp.FetchStatus(context.Background(), strings.TrimPrefix(server.URL, "http://"))
			switch {
			case errors.Is(err, adminhttp.ErrTooLong):
				result = "too long"
			case err != nil:
				result = err.Error()
			}
			fmt.Fprintf(&out, "%s: %s\n", line, result)
		}
		return out.String()
	})
}
