//go:build review2

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// stop stops a daemon with SIGTERM while requests of its clients wait at another machine, whose
// upstream is busy with long reads.
func stop(f *fleet, trouble bool) (int, error) {
	const (
		timeout = 6 * time.Second
		long    = 5900
		lostS   = 200 * time.Millisecond
	)
	front := f.addMachine("muc", "portal", 9)
	back := f.addMachine("aug", "archiv", 5)
	if err := f.startAll(
		resource("services", "portal", serviceSpec()), resource("services", "archiv", serviceSpec()),
		resource("routes", "r-read", routeSpec("archiv.example", "/read/", "safe", "archiv", timeout.Seconds(), false)),
		resource("routes", "r-book", routeSpec("archiv.example", "/book/", "unsafe", "archiv", timeout.Seconds(), false)),
	); err != nil {
		return noCheck, err
	}
	read := func(m *machine, id string, work int) answer {
		return f.send(m, request{id: id, method: "GET", host: "archiv.example", path: fmt.Sprintf("/read/work/%d/page", work), deadline: timeout})
	}
	book := func(id string) answer {
		return f.send(front, request{id: id, method: "POST", host: "archiv.example", path: "/book/work/100/page", body: []byte("a booking"), deadline: timeout})
	}
	for k := range 10 {
		read(front, fmt.Sprintf("warm-read-%d", k), 100)
		book(fmt.Sprintf("warm-book-%d", k))
	}
	var wait sync.WaitGroup
	begin := time.Now()
	if trouble {
		f.note("SIGTERM to the daemon of %s", front.name)
		_ = front.daemon.Process.Signal(syscall.SIGTERM)
	}
	for k := range back.slots {
		wait.Go(func() { read(back, fmt.Sprintf("long-%d", k), long) })
	}
	time.Sleep(300 * time.Millisecond)
	var mu sync.Mutex
	lost, asked := 0, 0
	for k := range 8 {
		if !front.in() {
			f.note("the clients of %s get no more work", front.name)
			break
		}
		wait.Go(func() {
			var a answer
			if k%2 == 0 {
				a = read(front, fmt.Sprintf("read-%d", k), 100)
			} else {
				a = book(fmt.Sprintf("book-%d", k))
			}
			ran := len(f.runsOf(func(e upstreamEvent) bool { return e.ID == a.id })) > 0
			mu.Lock()
			defer mu.Unlock()
			asked++
			if a.status == 0 && !ran && a.took > lostS && a.took < timeout-100*time.Millisecond {
				lost++
				f.note("LOST: %s was sent %.3f s after the SIGTERM and has reached no upstream; its connection ended without an answer %.3f s later",
					a.id, a.sent.Sub(begin).Seconds(), a.took.Seconds())
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	fmt.Printf("asked %d, lost %d\n", asked, lost)
	if asked == 0 {
		return noCheck, errors.New("no request was sent")
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
