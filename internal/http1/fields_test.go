package http1_test

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// TestDropConnectionFields prints what is left of headers.
func TestDropConnectionFields(t *testing.T) {
	datadriven.RunTest(t, "testdata/fields", func(t *testing.T, d *datadriven.TestData) string {
		fields, err := textproto.NewReader(bufio.NewReader(strings.NewReader(d.Input + "\n\n"))).ReadMIMEHeader()
		if err != nil {
			t.Fatal(err)
		}
		http1.DropConnectionFields(http.Header(fields))
		var out bytes.Buffer
		if err := http.Header(fields).Write(&out); err != nil {
			t.Fatal(err)
		}
		return strings.ReplaceAll(out.String(), "\r\n", "\n")
	})
}
