package main

import (
	"fmt"
	"sync"
	"time"
)

// evac takes a zone out, and brings the store back from a copy that is older than that. The operator
// writes the evacuation again some seconds later.
func evac(f *fleet, trouble bool) (int, error) {
	const (
		evacuate = 5 * time.Second
		age      = 8 * time.Second
		again    = 5 * time.Second
	)
	for n := range 6 {
		f.addMachine(f.zones[n%3], "doku", 9)
	}
	if err := f.startAll(resource("services", "doku", serviceSpec()),
		resource("routes", "r-doku", routeSpec("doku.example", "/doku/", "safe", "doku", 1.2, false))); err != nil {
		return noCheck, err
	}
	f.store.put("op/evacuate/muc", map[string]any{})
	acked := time.Now()
	f.note("evacuation of muc acknowledged")
	mu := newGuard()
	sends := make(map[string]answer)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range f.machines {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := f.send(m, request{id: fmt.Sprintf("read-%d-%d", m.n, k), method: "GET", host: "doku.example", path: "/doku/takes/20/page", deadline: time.Second})
				mu.Lock()
				sends[a.id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(age - time.Second)
	down, back := time.Time{}, time.Time{}
	if trouble {
		down = time.Now()
		f.store.suspend()
		f.note("store away")
		time.Sleep(500 * time.Millisecond)
		back = time.Now()
		f.store.restore(back.Add(-age))
		f.note("store back from a copy %s old, era 2", age)
		time.Sleep(again)
		f.store.put("op/evacuate/muc", map[string]any{})
		f.note("the operator has written the evacuation again")
	} else {
		time.Sleep(500*time.Millisecond + again)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	inZone := make(map[string]bool)
	for _, m := range f.machines {
		if m.zone == "muc" {
			inZone[fmt.Sprintf("i-%s-1", m.name)] = true
		}
	}
	mu.Lock()
	defer mu.Unlock()
	late, total := 0, 0
	for _, e := range f.runsOf(func(e upstreamEvent) bool { return inZone[e.Instance] }) {
		at := time.Unix(0, e.At)
		if !at.After(acked.Add(evacuate)) {
			continue
		}
		total++
		// A machine is in touch again contact-s after the end of the store's disruption.
		if trouble && at.After(down) && at.Before(back.Add(contact)) {
			continue
		}
		late++
		f.note("EVAC: %s reached %s %.3f s after the acknowledgement", e.ID, e.Instance, at.Sub(acked).Seconds())
	}
	fmt.Printf("requests that reached the zone later than evacuate-s after the acknowledgement: %d, of machines in touch: %d\n", total, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
