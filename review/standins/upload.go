package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["upload"] = upload }

// The load and the disruption of the case upload.
const (
	uploadBytes    = 2 << 20
	uploadDeadline = 3 * time.Second
	uploadWork     = 50 * time.Millisecond
	uploadPause    = 400 * time.Millisecond
	uploadFreeze   = 3 * time.Second
	uploadFreezes  = 8
)

// uploads counts the runs of each request.
type uploads struct {
	record *record
	mu     guard
	runs   map[string][]string
	served atomic.Int64
}

// upload freezes one machine in nine while clients upload bodies of 2 MiB, and checks that no
// upload runs twice. The upstreams begin to work on an upload when its head has arrived, and
// answer before they have read its body.
func upload(e *environment) error {
	f, err := newFleet(e.record, e.root,
		"kigali-a-1=kigali-a:tables", "kigali-b-1=kigali-b:tables", "kigali-c-1=kigali-c:tables",
		"kigali-a-2=kigali-a:registry", "kigali-b-2=kigali-b:registry", "kigali-c-2=kigali-c:registry",
		"kigali-a-3=kigali-a:scriptorium", "kigali-b-3=kigali-b:scriptorium", "kigali-c-3=kigali-c:scriptorium")
	if err != nil {
		return err
	}
	defer f.close()
	u := &uploads{record: e.record, mu: newGuard(), runs: make(map[string][]string)}
	for _, m := range f.machines {
		l, err := net.Listen("tcp", m.upstream.address)
		if err != nil {
			return fmt.Errorf("listen for upstream: %w", err)
		}
		m.upstream.listener, m.upstream.born = l, time.Now()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go u.serve(m.upstream, c)
			}
		}()
		f.store.put("servers/"+m.upstream.id, m.upstream.entry("ready", 1))
	}
	manuscript := route("r-upload", "upload.example", "/upload/", "upload", "scriptorium", 1)
	manuscript["spec"].(map[string]any)["timeout-s"] = uploadDeadline.Seconds()
	f.store.put("op/config", configuration(7, manuscript, service("tables"), service("registry"), service("scriptorium"), tenant("pulo780", "key-of-pulo780")))
	for _, m := range f.machines {
		if err := f.startDaemon(m); err != nil {
			return err
		}
	}
	if err := f.awaitReady(f.machines...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	ended := make(chan struct{}, len(f.machines))
	clients := f.machines[:6]
	for _, m := range clients {
		go func() {
			u.client(f, m, stop)
			ended <- struct{}{}
		}()
	}
	for n := range uploadFreezes {
		time.Sleep(4 * time.Second)
		if !e.trouble {
			time.Sleep(uploadFreeze)
			continue
		}
		m := f.machines[6+n%3]
		e.record.printf("machine %s freezes", m.name)
		if err := m.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return fmt.Errorf("freeze: %w", err)
		}
		time.Sleep(uploadFreeze)
		e.record.printf("machine %s wakes", m.name)
		if err := m.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return fmt.Errorf("wake: %w", err)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	for range clients {
		<-ended
	}
	if u.served.Load() < 100 {
		return fmt.Errorf("only %d uploads were served", u.served.Load())
	}
	return nil
}

// serve answers the requests of a connection.
func (u *uploads) serve(s *upstream, c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		h := make(http.Header)
		switch expected := req.Header.Get("X-Expect-Instance"); {
		case req.Method == http.MethodGet && req.URL.Path == healthPath:
			h.Set("X-Instance-Id", s.id)
			if _, err := c.Write(encode(http.StatusOK, h, nil)); err != nil {
				return
			}
			continue
		case expected != s.id:
			h.Set("X-Request-Id", id)
			h.Set("X-Instance-Id", s.id)
			_, _ = c.Write(encode(http.StatusMisdirectedRequest, h, nil))
			return
		}
		u.mu.lock()
		u.runs[id] = append(u.runs[id], s.id)
		runs := slices.Clone(u.runs[id])
		u.mu.unlock()
		u.record.printf("server %s runs %s", s.id, id)
		if len(runs) > 1 {
			u.record.breach("the upload %s runs %d times, at %v", id, len(runs), runs)
		}
		time.Sleep(uploadWork)
		h.Set("X-Request-Id", id)
		h.Set("X-Upstream-Seal", s.id+"."+id)
		if _, err := c.Write(encode(http.StatusOK, h, answerBody(s.id, id))); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// client uploads one body after another.
func (u *uploads) client(f *fleet, m *machine, stop <-chan struct{}) {
	body := bytes.Repeat([]byte("a manuscript...\n"), uploadBytes/16)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(uploadPause)):
		}
		c, err := dial(f.address(m, portOutbound))
		if err != nil {
			continue
		}
		id := newID()
		u.record.printf("client at %s sends %s", m.name, id)
		a, err := c.send(http.MethodPost, fmt.Sprintf("/upload/%s/%d", m.name, n), uploadDeadline, []string{
			"Host: upload.example", "X-Request-Id: " + id, "Authorization: Bearer key-of-pulo780",
		}, body)
		_ = c.Close()
		if err != nil {
			u.record.printf("client at %s: %s: %v", m.name, id, err)
			continue
		}
		u.record.printf("client at %s gets %d to %s", m.name, a.status, id)
		if a.status == http.StatusOK {
			u.served.Add(1)
		}
	}
}
