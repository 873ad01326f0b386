package peerquic_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/authority"
	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// replies is a handler that answers each call with the reply.
type replies struct{ reply atomic.Pointer[schema.Reply] }

// ServePeer implements peerquic.Handler.
func (h *replies) ServePeer(_ context.Context, _ string, _ *schema.Request, s *peerquic.Stream) {
	_ = s.WriteAnswer(schema.Answer_builder{Reply: h.reply.Load()}.Build())
	_ = s.CloseSend()
}

// TestMalformedReply guards against a malformed response that another daemon has passed on (MIXED).
// Each line of the input is a status, and the name and the value of a field with escapes.
func TestMalformedReply(t *testing.T) {
	ca, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	h := &replies{}
	client, server := newMesh(t, ca, "client", echo{}), newMesh(t, ca, "server", h)
	defer func() {
		_ = client.Close()
		_ = server.Close()
	}()
	datadriven.RunTest(t, "testdata/replies", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			text, err := strconv.Unquote(`"` + line + `"`)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			first, field, _ := strings.Cut(text, " ")
			status, err := strconv.ParseUint(first, 10, 32)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			name, value, _ := strings.Cut(field, "=")
			fields := []*schema.Field{schema.Field_builder{Name: proto.String(name), Value: proto.String(value)}.Build()}
			h.reply.Store(schema.Reply_builder{Status: proto.Uint32(uint32(status)), Fields: fields}.Build())
			request := schema.Request_builder{Call: &schema.Call{}}.Build()
			_, err = client.RoundTrip(t.Context(), "server", server.Address(), request)
			fmt.Fprintf(&out, "%s: read %t\n", line, err == nil)
		}
		return out.String()
	})
}
