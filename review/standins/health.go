package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["health"] = health }

// healthRestarts is how often the daemon is stopped and started.
const healthRestarts = 4

// health stops and starts the daemon beside one upstream under a little load, so that each
// new process asks the upstream's health. The upstream is faulty: it sends a second copy of
// some of its answers, late, where the next answer on that connection is expected. The copied
// answers are those to the health checks.
func health(e *environment) error {
	f, err := newFleet(e.record, e.root, "muc-1=muc:doku", "aug-1=aug:termin", "ros-1=ros:messung")
	if err != nil {
		return err
	}
	defer f.close()
	restarted := f.machines[0]
	faulty := restarted.upstream
	var answers, copies atomic.Int64
	var restarting atomic.Bool
	faulty.duplicate = func(_ *upstream, r *http.Request) bool {
		answers.Add(1)
		if !e.trouble || r.URL.Path != healthPath || !restarting.CompareAndSwap(true, false) {
			return false
		}
		copies.Add(1)
		return true
	}
	err = f.start(configuration(7,
		route("r-doc", "doc.example", "/doc/", "safe", "doku", 2), route("r-book", "book.example", "/book/", "unsafe", "doku", 1),
		service("doku"), service("termin"), service("messung"), tenant("pulo780", "key-of-pulo780")))
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var served atomic.Int64
	stop := make(chan struct{})
	ended := make(chan error, 2)
	for _, m := range f.machines[1:] {
		go func() { ended <- healthClient(f, m, faulty, stop, &served) }()
	}
	for range healthRestarts {
		time.Sleep(3 * time.Second)
		e.record.printf("SIGTERM to daemon %s", restarted.name)
		if err := restarted.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("stop daemon: %w", err)
		}
		<-restarted.ended
		f.firstStart = false
		restarting.Store(true)
		if err := f.startDaemon(restarted); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	for range 2 {
		if err := <-ended; err != nil {
			return err
		}
	}
	e.record.printf("the faulty server gave %d answers, of which it copied %d", answers.Load(), copies.Load())
	if served.Load() < 60 {
		return fmt.Errorf("only %d requests were served", served.Load())
	}
	return nil
}

// healthClient sends requests one after another and checks each success.
func healthClient(f *fleet, m *machine, u *upstream, stop <-chan struct{}, served *atomic.Int64) error {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		case <-time.After(40 * time.Millisecond):
		}
		c, err := dial(f.address(m, portOutbound))
		if err != nil {
			return err
		}
		method, host, target, body := http.MethodPost, "book.example", fmt.Sprintf("/book/%d", n), []byte("a booking")
		if n%2 == 1 {
			method, host, target, body = http.MethodGet, "doc.example", fmt.Sprintf("/doc/%d", n), nil
		}
		id := newID()
		f.record.printf("client at %s sends %s %s %s", m.name, id, method, target)
		a, err := c.send(method, target, 2*time.Second, []string{
			"Host: " + host, "X-Request-Id: " + id, "Authorization: Bearer key-of-pulo780",
		}, body)
		_ = c.Close()
		if err != nil {
			return err
		}
		seal := a.header.Get("X-Upstream-Seal")
		f.record.printf("client gets %d to %s, seal %q: %s", a.status, id, seal, strings.TrimSpace(string(a.body)))
		switch {
		case a.status != http.StatusOK:
		case seal == "":
			f.record.breach("the client of %s gets a success without a seal, with the body %q", id, a.body)
		case string(a.body) != string(answerBody(u.id, id)):
			f.record.breach("the client of %s gets the body %q", id, a.body)
		default:
			served.Add(1)
		}
	}
}
