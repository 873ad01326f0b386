package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["identity"] = identity }

// identity sends requests whose Connection field lists fields that the system sets itself,
// and checks the values with which upstreams run them.
func identity(e *environment) error {
	f, err := newFleet(e.record, e.root, "muc-1=muc:doku", "aug-1=aug:termin", "ros-1=ros:messung")
	if err != nil {
		return err
	}
	defer f.close()
	begins := make(map[string]string)
	mu := newGuard()
	for _, m := range f.machines {
		m.upstream.onRun = func(u *upstream, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Request-Id")
			mu.lock()
			service := begins[id]
			mu.unlock()
			if got := strings.Join(r.Header["X-Caller-Service"], ","); got != service {
				e.record.breach("server %s runs %s with X-Caller-Service %q; it began beside %q", u.id, id, got, service)
			}
			if got := strings.Join(r.Header["X-Tenant"], ","); got != "pulo780" {
				e.record.breach("server %s runs %s with X-Tenant %q; the key's tenant is \"pulo780\"", u.id, id, got)
			}
		}
	}
	err = f.start(configuration(7,
		route("r-doc", "doc.example", "/doc/", "safe", "doku", 2), route("r-book", "book.example", "/book/", "unsafe", "termin", 1),
		route("r-check", "check.example", "/check/", "safe", "messung", 1),
		service("doku"), service("termin"), service("messung"), tenant("pulo780", "key-of-pulo780"), tenant("zelu113", "key-of-zelu113")))
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	listed := "keep-alive"
	if e.trouble {
		listed = "keep-alive, X-Tenant, X-Caller-Service"
	}
	served := 0
	for n := range 60 {
		m := f.machines[n%len(f.machines)]
		c, err := dial(f.address(m, portOutbound))
		if err != nil {
			return err
		}
		method, host, target, body := http.MethodGet, "doc.example", fmt.Sprintf("/doc/%d", n), []byte(nil)
		switch n / len(f.machines) % 3 {
		case 1:
			method, host, target, body = http.MethodPost, "book.example", fmt.Sprintf("/book/%d", n), []byte("a booking")
		case 2:
			host, target = "check.example", fmt.Sprintf("/check/%d", n)
		}
		id := newID()
		mu.lock()
		begins[id] = m.service
		mu.unlock()
		e.record.printf("client at %s sends %s %s %s, Connection: %s", m.name, id, method, target, listed)
		a, err := c.send(method, target, 2*time.Second, []string{
			"Host: " + host, "X-Request-Id: " + id, "Authorization: Bearer key-of-pulo780",
			"X-Tenant: zelu113", "X-Caller-Service: messung", "Connection: " + listed,
		}, body)
		if err != nil {
			return err
		}
		e.record.printf("client gets %d to %s: %s", a.status, id, strings.TrimSpace(string(a.body)))
		if a.status == http.StatusOK {
			served++
		}
		_ = c.Close()
		time.Sleep(20 * time.Millisecond)
	}
	if served < 30 {
		return fmt.Errorf("only %d of 60 requests were served", served)
	}
	return nil
}
