package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// TestRequestOnLateConnection guards against requests that get no answer since their connection
// waited in the backlog when a planned stop began (LOST). A script is what the client does once
// the server has accepted its connection during the stop: it waits, or sends text.
func TestRequestOnLateConnection(t *testing.T) {
	datadriven.RunTest(t, "testdata/late", func(t *testing.T, d *datadriven.TestData) string {
		s, err := http1.ListenPipelined("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		// A request that is arriving keeps the server from ending before it accepts the client.
		hold, server := net.Pipe()
		s.ServeConn(server)
		_, _ = io.WriteString(hold, "GET / HTTP/1.1\r\n")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(ctx) }()
		defer func() {
			_ = hold.Close()
			<-stopped
		}()
		<-s.Draining().Done()
		client, server := net.Pipe()
		s.ServeConn(server)
		for line := range strings.SplitSeq(d.Input, "\n") {
			verb, rest, _ := strings.Cut(line, " ")
			switch verb {
			case "wait":
				pause, err := time.ParseDuration(rest)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(pause)
			case "send":
				_, _ = io.WriteString(client, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(rest))
			}
		}
		_ = client.SetDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			return fmt.Sprintf("%v\n", err)
		}
		_ = resp.Body.Close()
		return fmt.Sprintf("%d, closes %t\n", resp.StatusCode, resp.Close)
	})
}
