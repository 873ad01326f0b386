package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// upstream is a stand-in for an application server. It serves one request at a time on a
// connection and answers with X-Request-Id and X-Upstream-Seal.
type upstream struct {
	id, service, zone, address string
	born                       time.Time
	work                       time.Duration
	record                     *record
	listener                   net.Listener
	slots                      chan struct{}
	// onRun is called when a request begins to run.
	onRun func(u *upstream, r *http.Request, body []byte)
	// warmup is reported in health responses if it is not zero.
	warmup time.Duration
	// duplicate reports whether a second copy of an answer is sent late, ahead of the next
	// answer on its connection.
	duplicate func(u *upstream, r *http.Request) bool
}

const upstreamSlots = 9

func startUpstream(u *upstream) error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return fmt.Errorf("listen for upstream: %w", err)
	}
	u.listener, u.born, u.slots = l, time.Now(), make(chan struct{}, upstreamSlots)
	if u.onRun == nil {
		u.onRun = func(*upstream, *http.Request, []byte) {}
	}
	if u.duplicate == nil {
		u.duplicate = func(*upstream, *http.Request) bool { return false }
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return nil
}

// entry is what the upstream writes of itself into the store.
func (u *upstream) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"address": u.address, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.service, "config-version": "v1", "zone": u.zone, "slots": upstreamSlots},
		"status": map[string]any{"state": state, "sequence": sequence, "warmup-left-s": 0},
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer := u.answer(req, body)
		if len(late) > 0 {
			u.record.printf("server %s sends a second copy of an earlier answer", u.id)
		}
		if _, err := c.Write(append(late, answer...)); err != nil {
			return
		}
		late = nil
		if u.duplicate(u, req) {
			late = answer
		}
	}
}

func (u *upstream) answer(req *http.Request, body []byte) []byte {
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	h := make(http.Header)
	h.Set("X-Instance-Id", u.id)
	if req.Method == http.MethodGet && req.URL.Path == healthPath {
		if u.warmup > 0 {
			h.Set("X-Warmup-Ms", fmt.Sprint(u.warmup.Milliseconds()))
		}
		u.record.printf("server %s answers a health check", u.id)
		return encode(http.StatusOK, h, []byte("healthy\n"))
	}
	id := req.Header.Get("X-Request-Id")
	switch expected := req.Header.Get("X-Expect-Instance"); {
	case id == "":
		h.Set("X-Not-Executed", "1")
		u.record.printf("server %s rejects a request without an id", u.id)
		return encode(http.StatusBadRequest, h, nil)
	case expected != "" && expected != u.id:
		h.Set("X-Request-Id", id)
		return encode(http.StatusMisdirectedRequest, h, nil)
	}
	u.record.printf("server %s (%s) runs %s %s %s tenant=%q caller=%q", u.id, u.service, id, req.Method, req.RequestURI,
		strings.Join(req.Header["X-Tenant"], ","), strings.Join(req.Header["X-Caller-Service"], ","))
	u.onRun(u, req, body)
	time.Sleep(u.work)
	h = make(http.Header)
	h.Set("X-Request-Id", id)
	h.Set("X-Upstream-Seal", fmt.Sprintf("%s.%s.%08x", u.id, id, crc32.ChecksumIEEE(answerBody(u.id, id))))
	return encode(http.StatusOK, h, answerBody(u.id, id))
}

// answerBody is the body of an upstream's answer to a request.
func answerBody(instance, id string) []byte {
	return []byte("answer of " + instance + " to " + id + "\n")
}

func encode(status int, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
