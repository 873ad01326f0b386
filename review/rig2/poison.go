package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

var errNotReady = errors.New("the daemons aren't ready")

// poison sends a request that crashes each upstream that begins to run it, again and again at all
// machines, while the daemons are stopped and started in turn.
func poison(f *fleet, trouble bool) (int, error) {
	for n := range 6 {
		f.addMachine(f.zones[n%3], "doku", 9)
	}
	if err := f.startAll(resource("services", "doku", serviceSpec()),
		resource("routes", "r-doku", routeSpec("doku.example", "/doku/", "safe", "doku", 1.2, false))); err != nil {
		return noCheck, err
	}
	mu := newGuard()
	sends := make(map[string]answer)
	served, asked := 0, 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// load sends a request after each pause, at one machine after the other of those given.
	load := func(machines []*machine, kind, path string, pause time.Duration) {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				m := machines[k%len(machines)]
				if !m.in() {
					continue
				}
				a := f.send(m, request{id: fmt.Sprintf("%s-%d-%d", kind, m.n, k), method: "GET", host: "doku.example", path: path, deadline: time.Second})
				mu.Lock()
				sends[a.id] = a
				if kind == "read" {
					asked++
					if a.status == 200 {
						served++
					}
				}
				mu.Unlock()
			}
		})
	}
	for _, m := range f.machines {
		load([]*machine{m}, "read", "/doku/takes/20/page", 100*time.Millisecond)
	}
	load(f.machines, "poison", "/doku/crash/page", 550*time.Millisecond)
	time.Sleep(9 * time.Second)
	if trouble {
		for _, m := range f.machines {
			if err := f.restartDaemon(m); err != nil {
				return noCheck, err
			}
			time.Sleep(4 * time.Second)
		}
	} else {
		time.Sleep(6 * 7500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	runs := f.runsOf(func(e upstreamEvent) bool { return strings.Contains(e.Path, "/crash/") })
	mu.Lock()
	defer mu.Unlock()
	f.note("reads: %d of %d served", served, asked)
	f.note("the request has crashed %d upstreams", len(runs))
	if len(runs) < 2 {
		return noCheck, errors.New("the request has crashed fewer than two upstreams")
	}
	late := 0
	if len(runs) > 3 {
		third := time.Unix(0, runs[2].At)
		for _, r := range runs[3:] {
			a := sends[r.ID]
			counts := a.from != nil && a.sent.After(third.Add(contact)) && a.from.inTouch(a.sent)
			f.note("crash at %.3f by %s, sent %.3f s after the third, counts: %t", time.Unix(0, r.At).Sub(f.began).Seconds(), r.ID,
				a.sent.Sub(third).Seconds(), counts)
			if counts {
				late++
			}
		}
	}
	f.note("retries that reached upstreams more than contact-s after the third crash, from machines in touch: %d (3 are allowed)", late)
	fmt.Printf("crashes %d, late retries %d (3 allowed), reads served %d of %d\n", len(runs), late, served, asked)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
