package main

import (
	"errors"
	"fmt"
	"time"
)

// keys sends requests with a key that no configuration has ever held.
func keys(f *fleet, trouble bool) (int, error) {
	const known, unknown = "6wsjnbanfqasnmgkcuyj", "8pjbvk9m68k7b2ex5wa5"
	for n := range 3 {
		f.addMachine(f.zones[n], "doku", 9)
	}
	if err := f.startAll(
		resource("services", "doku", serviceSpec()),
		resource("tenants", "pulo780", map[string]any{"api-keys": []string{known}, "priority": 1, "rate-per-s": 53, "burst": 53}),
		resource("routes", "r-open", routeSpec("doku.example", "/open/", "unsafe", "doku", 1.2, true)),
		resource("routes", "r-doku", routeSpec("doku.example", "/doku/", "unsafe", "doku", 1.2, false)),
	); err != nil {
		return noCheck, err
	}
	ran, served := 0, 0
	for n, m := range f.machines {
		for k := range 10 {
			key := known
			if trouble {
				key = unknown
			}
			for _, path := range []string{"/open/page", "/doku/page"} {
				a := f.send(m, request{id: fmt.Sprintf("book-%d-%d%s", n, k, path[:5]), method: "POST", host: "doku.example", path: path, key: key, body: []byte("booking"), deadline: time.Second})
				if len(f.runsOf(func(e upstreamEvent) bool { return e.ID == a.id })) > 0 && key == unknown {
					ran++
					f.note("ROUTE: %s has run with a key that no configuration has held", a.id)
				}
				if a.status == 200 {
					served++
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	fmt.Printf("served %d of 60, ran with the unknown key %d\n", served, ran)
	if !trouble && served < 55 {
		return noCheck, errors.New("the requests with the known key weren't served")
	}
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}
