package wirecheck_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/wirecheck"
)

// TestTransport guards against clients of net/http that take a malformed or broken response for a
// valid one. Each line of the input is what a server sends before it closes the connection.
func TestTransport(t *testing.T) {
	datadriven.RunTest(t, "testdata/transport", func(t *testing.T, d *datadriven.TestData) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		lines := strings.Split(d.Input, "\n")
		go func() {
			for _, line := range lines {
				text, err := strconv.Unquote(`"` + line + `"`)
				c, acceptErr := l.Accept()
				if err != nil || acceptErr != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			}
		}()
		client := &http.Client{Timeout: time.Second, Transport: wirecheck.NewTransport(&http.Transport{DisableKeepAlives: true})}
		var out strings.Builder
		for _, line := range lines {
			result := "no response"
			if resp, err := client.Get("http://" + l.Addr().String()); err == nil {
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if result = fmt.Sprintf("%d %q", resp.StatusCode, body); err != nil {
					result = "broken off"
				}
			}
			fmt.Fprintf(&out, "%s\n  %s\n", line, result)
		}
		return out.String()
	})
}
