package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// TestBusyLink guards against a healthy daemon that is declared unreachable because its link is
// busy or since the process that pings it did not run, and against a failed one that is not. Each
// line is a daemon, which answers, is closed, or is silent, for ever or for a time; the backlog
// that it last reported; and for how long the own process did not run. The output says whether
// it counts as unreachable, and whether one ping has decided that.
func TestBusyLink(t *testing.T) {
	datadriven.RunTest(t, "testdata/busy_link", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			var kind, silence, backlog, pause string
			if _, err := fmt.Sscan(line, &kind, &silence, &backlog, &pause); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "%s: %s\n", line, judge(t, kind, parseDuration(t, silence), parseDuration(t, backlog), parseDuration(t, pause)))
		}
		return out.String()
	})
}

func judge(t *testing.T, kind string, silence, backlog, pause time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	answer, err := encodeControl(schema.Exchange_builder{From: proto.String("127.0.0.1")}.Build())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if kind == "silent" && time.Since(begin) < silence {
			select {
			case <-r.Context().Done():
			case <-time.After(3 * time.Second):
			}
			return
		}
		_, _ = w.Write(answer)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	if kind == "closed" {
		_ = l.Close()
	}
	port := uint16(l.Addr().(*net.TCPAddr).Port) //nolint:gosec // a port
	peers := newPeerClients(port, port, nil)
	var pings atomic.Int64
	detector := &failureDetector{
		ctx: context.Background(), balancer: upstream.NewBalancer(upstream.LatencyCost{}, "127.0.0.2", "muc"),
		events: newEvents(logs.NewWriter(io.Discard), "m1", "muc"), ping: func(ctx context.Context, ip string) error {
			pings.Add(1)
			return peers.ping(ctx, ip)
		},
		isPublished: func(string) bool { return false }, broadcast: func(string) {}, links: newBusyLinks(nil),
		ownPause: func() time.Duration { return pause },
	}
	detector.links.record(time.Now(), "127.0.0.1", backlog)
	detector.checkReachable("127.0.0.1")
	verdict := "reachable"
	if detector.unreachable("127.0.0.1") {
		verdict = "unreachable"
	}
	if pings.Load() > 1 {
		return verdict + " after further pings"
	}
	return verdict + " after one ping"
}
