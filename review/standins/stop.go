package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

// The load and the work of the case stop.
const (
	stopClients  = 20
	stopPause    = 250 * time.Millisecond
	stopDeadline = 4 * time.Second
	// stopTimeout is the route's timeout.
	stopTimeout = 2 * time.Second
	// longWork is the work of one request in longShare, shortWork that of the others.
	longShare = 10
	longWork  = 1800 * time.Millisecond
	shortWork = 160 * time.Millisecond
	stops     = 8
	// grace is grace-s.
	grace = 6 * time.Second
	// excused is the time from SIGTERM until which a request may be sent that is cut while
	// its upstream is at work in the last sixth of the grace time.
	excused = 3 * time.Second
)

// stopWatch holds what the clients of the case stop share.
type stopWatch struct {
	f *fleet
	m *machine
	// terminated is when SIGTERM was sent last, in nanoseconds since begin, or 0.
	terminated atomic.Int64
	begin      time.Time
	mu         guard
	// ran holds the requests that an upstream has begun to run.
	ran    map[string]bool
	served atomic.Int64
}

// stop sends SIGTERM to a daemon whose clients go on, since its zone has no other daemon, and
// starts it again. It checks that each request passed on to an upstream is answered.
func stop(e *environment) error {
	f, err := newFleet(e.record, e.root, "kigali-a-1=kigali-a:tables", "kigali-b-1=kigali-b:registry", "kigali-c-1=kigali-c:registry")
	if err != nil {
		return err
	}
	defer f.close()
	w := &stopWatch{f: f, m: f.machines[0], begin: time.Now(), mu: newGuard(), ran: make(map[string]bool)}
	for _, m := range f.machines[1:] {
		m.upstream.work = 0
		m.upstream.onRun = func(_ *upstream, r *http.Request, _ []byte) {
			w.mu.lock()
			w.ran[r.Header.Get("X-Request-Id")] = true
			w.mu.unlock()
			if strings.HasPrefix(r.URL.Path, "/register/long/") {
				time.Sleep(longWork)
			} else {
				time.Sleep(shortWork)
			}
		}
	}
	register := route("r-register", "register.example", "/register/", "unsafe", "registry", 1)
	register["spec"].(map[string]any)["timeout-s"] = stopTimeout.Seconds()
	register["spec"].(map[string]any)["target-latency-s"] = 0.6
	if err := f.start(configuration(7, register, service("tables"), service("registry"), tenant("pulo780", "key-of-pulo780"))); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	ended := make(chan struct{}, stopClients)
	for range stopClients {
		go func() {
			w.client(end)
			ended <- struct{}{}
		}()
	}
	for range stops {
		time.Sleep(3 * time.Second)
		if !e.trouble {
			time.Sleep(grace)
			continue
		}
		e.record.printf("SIGTERM to daemon %s", w.m.name)
		w.terminated.Store(int64(time.Since(w.begin)))
		if err := w.m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("stop daemon: %w", err)
		}
		select {
		case <-w.m.ended:
		case <-time.After(grace):
			e.record.printf("SIGKILL to daemon %s", w.m.name)
			_ = w.m.cmd.Process.Kill()
			<-w.m.ended
		}
		time.Sleep(200 * time.Millisecond)
		f.firstStart = false
		if err := f.startDaemon(w.m); err != nil {
			return err
		}
		if err := f.awaitReady(w.m); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	close(end)
	for range stopClients {
		<-ended
	}
	if w.served.Load() < 100 {
		return fmt.Errorf("only %d requests were served", w.served.Load())
	}
	return nil
}

// client sends requests on a kept connection and opens another when that has ended.
func (w *stopWatch) client(end <-chan struct{}) {
	var c *connection
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(stopPause/2 + rand.N(stopPause)):
		}
		if c == nil {
			var err error
			if c, err = dial(w.f.address(w.m, portOutbound)); err != nil {
				c = nil
				continue
			}
		}
		target := fmt.Sprintf("/register/short/%d", n)
		if rand.IntN(longShare) == 0 {
			target = fmt.Sprintf("/register/long/%d", n)
		}
		id, sent := newID(), time.Since(w.begin)
		a, err := c.send(http.MethodPost, target, stopDeadline, []string{
			"Host: register.example", "X-Request-Id: " + id, "Authorization: Bearer key-of-pulo780",
		}, []byte("an edition"))
		if err != nil {
			w.lost(id, target, sent, err)
			_ = c.Close()
			c = nil
			continue
		}
		w.f.record.printf("client sent %s %s at %.3f, gets %d: %s", id, target, sent.Seconds(), a.status, strings.TrimSpace(string(a.body)))
		if a.status == http.StatusOK {
			w.served.Add(1)
		}
		if a.last {
			_ = c.Close()
			c = nil
		}
	}
}

// lost checks a request whose connection ended without a complete answer.
func (w *stopWatch) lost(id, target string, sent time.Duration, err error) {
	now := time.Since(w.begin)
	after := sent - time.Duration(w.terminated.Load())
	w.mu.lock()
	ran := w.ran[id]
	w.mu.unlock()
	w.f.record.printf("client sent %s %s at %.3f, %.2f s after SIGTERM; its connection ends after %.2f s without an answer (%v); passed on: %v",
		id, target, sent.Seconds(), after.Seconds(), (now - sent).Seconds(), err, ran)
	if ran && after > excused && now-sent < stopTimeout {
		w.f.record.breach("%s, sent %.2f s after SIGTERM, is run by an upstream, and its connection ends %.2f s after it was sent without an answer",
			id, after.Seconds(), (now - sent).Seconds())
	}
}
