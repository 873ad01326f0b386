package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["pages"] = pages }

const (
	// drainBound is drain-s.
	drainBound = 2 * time.Second
	// staleAge is the age of the copy from which the store answers stale reads of later pages.
	staleAge = 3 * time.Second
	// pageItems is the size of the store's pages in the case pages.
	pageItems = 4
)

// pages restarts the daemon beside an upstream that reports draining. The store answers the
// daemon's stale reads of the first pages from a current copy, and those of later pages from
// one that is some seconds old.
func pages(e *environment) error {
	f, err := newFleet(e.record, e.root, "muc-1=muc:doku", "aug-1=aug:doku", "ros-1=ros:doku",
		"muc-2=muc:termin", "aug-2=aug:termin", "ros-2=ros:termin")
	if err != nil {
		return err
	}
	defer f.close()
	f.store.pageItems = pageItems
	config := func(version int) map[string]any {
		return configuration(version, route("r-doc", "doc.example", "/doc/", "safe", "doku", 2),
			service("doku"), service("termin"), tenant("pulo780", "key-of-pulo780"))
	}
	if err := f.start(config(7)); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	m := f.machines[2]
	u := m.upstream
	e.record.printf("SIGTERM to daemon %s", m.name)
	if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop daemon: %w", err)
	}
	time.Sleep(2 * time.Second)
	drained := f.store.put("servers/"+u.id, u.entry("draining", 2))
	e.record.printf("the store acknowledges that server %s is draining", u.id)
	other := f.machines[1].upstream
	entry := other.entry("ready", 2)
	entry["info"].(map[string]any)["config-version"] = "v2"
	f.store.put("servers/"+other.id, entry)
	f.store.put("op/config", config(10))
	<-m.ended
	if e.trouble {
		f.store.mu.lock()
		f.store.staleAge = staleAge
		f.store.mu.unlock()
	}
	f.firstStart = false
	if err := f.startDaemon(m); err != nil {
		return err
	}
	started := time.Now()
	if err := f.awaitReady(m); err != nil {
		return err
	}
	u.onRun = func(u *upstream, r *http.Request, _ []byte) {
		if now := time.Now(); now.Sub(drained) > drainBound && now.Sub(started) > contact {
			e.record.breach("server %s gets %s %.2f s after the store acknowledged that it is draining", u.id, r.Header.Get("X-Request-Id"), now.Sub(drained).Seconds())
		}
	}
	served := 0
	for n := 0; time.Since(started) < 12*time.Second; n++ {
		time.Sleep(50 * time.Millisecond)
		c, err := dial(f.address(m, portOutbound))
		if err != nil {
			return err
		}
		id := newID()
		a, err := c.send(http.MethodGet, fmt.Sprintf("/doc/%d", n), time.Second, []string{
			"Host: doc.example", "X-Request-Id: " + id, "Authorization: Bearer key-of-pulo780",
		}, nil)
		_ = c.Close()
		if err != nil {
			return err
		}
		e.record.printf("client at %s sent %s, gets %d: %s", m.name, id, a.status, strings.TrimSpace(string(a.body)))
		if a.status == http.StatusOK {
			served++
		}
	}
	if served < 60 {
		return fmt.Errorf("only %d requests were served", served)
	}
	return nil
}
