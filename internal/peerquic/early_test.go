package peerquic_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/authority"
	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// early is a handler that reads no body. It answers if the call asks for it, and aborts the
// stream otherwise.
type early struct{}

// ServePeer implements peerquic.Handler.
func (early) ServePeer(_ context.Context, _ string, r *schema.Request, s *peerquic.Stream) {
	if r.GetCall().GetMethod() != "answer" {
		s.Abort()
		return
	}
	_ = s.WriteAnswer(&schema.Answer{})
	_ = s.CloseSend()
	s.StopReading()
}

// TestEarlyAnswer guards against an answer that is lost because it ends the sending of the body.
// Each line of the input is what the server does, and the bytes of body that the client sends
// once the server has stopped reading. The output is the result of sending, then of reading.
func TestEarlyAnswer(t *testing.T) {
	ca, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	client, server := newMesh(t, ca, "client", echo{}), newMesh(t, ca, "server", early{})
	defer func() { _, _ = client.Close(), server.Close() }()
	datadriven.RunTest(t, "testdata/early", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			action, size, _ := strings.Cut(line, " ")
			n, err := strconv.Atoi(size)
			if err != nil {
				t.Fatal(err)
			}
			request := schema.Request_builder{Call: schema.Call_builder{Method: proto.String(action)}.Build()}.Build()
			s, release, err := client.OpenStream(t.Context(), "server", server.Address(), request)
			if err != nil || s.Flush() != nil {
				t.Fatal(err)
			}
			<-s.Context().Done()
			_, err = io.Copy(s, strings.NewReader(strings.Repeat("x", n)))
			if err == nil {
				err = s.CloseSend()
			}
			sent := "failed"
			if errors.Is(err, peerquic.ErrNotReading) {
				sent = "not reading"
			}
			_, err = s.ReadAnswer()
			fmt.Fprintf(&out, "%s: %s, answered %t\n", line, sent, err == nil)
			release()
		}
		return out.String()
	})
}
