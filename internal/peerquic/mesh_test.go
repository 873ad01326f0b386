package peerquic_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/authority"
	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/peerquic/relaytest"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// bodyBytes is the size of the bodies of responses. It fits into the window of a stream, so
// that a server has sent it all before the client reads any of it.
const bodyBytes = 40 << 10

// echo is a handler that answers each call with a body.
type echo struct{}

// ServePeer implements peerquic.Handler.
func (echo) ServePeer(_ context.Context, _ string, _ *schema.Request, s *peerquic.Stream) {
	if s.WriteAnswer(&schema.Answer{}) != nil {
		s.Abort()
		return
	}
	_, _ = s.Write(make([]byte, bodyBytes))
	_ = s.CloseSend()
}

// relay passes packets between a client and a server after a delay.
type relay struct {
	address string
	// packets counts the packets of the client.
	packets atomic.Int64
}

func newRelay(t *testing.T, server string, delay time.Duration) *relay {
	r := &relay{}
	r.address = relaytest.New(t, server, func(send func()) {
		r.packets.Add(1)
		time.AfterFunc(delay, send)
	}, func(send func()) { time.AfterFunc(delay, send) })
	return r
}

// pair is a client and a server with relays between them. The client uses one at a time.
type pair struct {
	client, server *peerquic.Mesh
	relays         []*relay
	address        string
	// open is the call whose response has not been read, and release ends it.
	open    *peerquic.Stream
	release func()
	// begun receives the result of a call that was begun in the background.
	begun   chan string
	stopped chan struct{}
}

func newMesh(t *testing.T, ca authority.KeyPair, name string, h peerquic.Handler) *peerquic.Mesh {
	keys, err := authority.Issue(ca, name)
	if err != nil {
		t.Fatal(err)
	}
	id, err := peerquic.NewIdentity(ca.Certificate(), keys.Certificate(), keys.Key())
	if err != nil {
		t.Fatal(err)
	}
	m, err := peerquic.Listen("127.0.0.1:0", id, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	m.Serve(h)
	return m
}

func newPair(t *testing.T, delay time.Duration) *pair {
	ca, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{client: newMesh(t, ca, "client", echo{}), server: newMesh(t, ca, "server", echo{}), begun: make(chan string, 1), stopped: make(chan struct{})}
	for range 2 {
		p.relays = append(p.relays, newRelay(t, p.server.Address(), delay))
	}
	p.address = p.relays[0].address
	return p
}

// begin sends a call and waits for the answer, but does not read the body.
func (p *pair) begin() string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request := schema.Request_builder{Call: &schema.Call{}}.Build()
	s, release, err := p.client.OpenStream(ctx, "server", p.address, request)
	if errors.Is(err, peerquic.ErrUnreachable) {
		return "not sent"
	}
	if err != nil {
		return "lost"
	}
	err = s.CloseSend()
	if err == nil {
		_, err = s.ReadAnswer()
	}
	if err != nil {
		release()
	}
	if errors.Is(err, peerquic.ErrUnreachable) {
		return "not read"
	}
	if err != nil {
		return "lost"
	}
	p.open, p.release = s, release
	return "answered"
}

// read reads the body of the open call.
func (p *pair) read() string {
	defer p.release()
	n, err := io.Copy(io.Discard, p.open)
	if err != nil {
		return "cut"
	}
	return fmt.Sprintf("%d bytes", n)
}

// paths reports through which relays the client sends. It waits longer than the interval of the
// packets that keep a connection open.
func (p *pair) paths() string {
	time.Sleep(100 * time.Millisecond)
	var before []int64
	for _, r := range p.relays {
		before = append(before, r.packets.Load())
	}
	time.Sleep(2 * time.Second)
	var out []string
	for i, r := range p.relays {
		state := "quiet"
		if r.packets.Load() > before[i] {
			state = "in use"
		}
		out = append(out, state)
	}
	return strings.Join(out, ", ")
}

// leave sends requests whose callers have left already.
func (p *pair) leave() string {
	const requests = 50
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sent := 0
	for range requests {
		if _, release, err := p.client.OpenStream(ctx, "server", p.address, &schema.Request{}); err == nil {
			release()
			sent++
		}
	}
	return fmt.Sprintf("%d of %d sent", sent, requests)
}

// run runs one line of a script: call sends a call and reads its body, begin and read do one
// part of that, and connect begins one in the background, whose first packets the server has
// answered after the line, and whose result is that of await. stop begins the planned stop of the server, wait waits until its first packets
// have arrived and stopped until it has ended. move gives the server another address. paths and
// left run paths and leave, and connections prints how many connections the client has.
func (p *pair) run(line string, delay time.Duration) string {
	switch line {
	case "call":
		open, release := p.open, p.release
		defer func() { p.open, p.release = open, release }()
		if result := p.begin(); result != "answered" {
			return result
		}
		return p.read()
	case "begin":
		return p.begin()
	case "read":
		return p.read()
	case "connect":
		go func() { p.begun <- p.begin() }()
		time.Sleep(2*delay + delay/2)
	case "await":
		return <-p.begun
	case "stop":
		go func() {
			defer close(p.stopped)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			stop(ctx, p.server)
		}()
		time.Sleep(delay / 2)
	case "wait":
		time.Sleep(delay + 50*time.Millisecond)
	case "stopped":
		<-p.stopped
	case "move":
		p.address = p.relays[1].address
	case "paths":
		return p.paths()
	case "left":
		return p.leave()
	case "connections":
		return strconv.Itoa(p.client.Connections())
	}
	return "ok"
}

func stop(ctx context.Context, m *peerquic.Mesh) {
	m.Shutdown(ctx)
	_ = m.Close()
}

// TestShutdown stops a server while a client uses it, over a path with a delay (LOST).
func TestShutdown(t *testing.T) {
	datadriven.RunTest(t, "testdata/shutdown", func(t *testing.T, d *datadriven.TestData) string {
		var text string
		d.ScanArgs(t, "delay", &text)
		delay, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		p := newPair(t, delay)
		defer func() { _ = p.client.Close() }()
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			fmt.Fprintf(&out, "%s: %s\n", line, p.run(line, delay))
		}
		<-p.stopped
		return out.String()
	})
}

// TestConnections checks which connections a client keeps open.
func TestConnections(t *testing.T) {
	datadriven.RunTest(t, "testdata/connections", func(t *testing.T, d *datadriven.TestData) string {
		p := newPair(t, 0)
		defer func() {
			_ = p.client.Close()
			_ = p.server.Close()
		}()
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			fmt.Fprintf(&out, "%s: %s\n", line, p.run(line, 0))
		}
		return out.String()
	})
}
