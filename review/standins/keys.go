package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// applyBound is config-apply-s.
const applyBound = 2 * time.Second

// keyChange is the acknowledgement of a version that takes one key away and adds another.
type keyChange struct {
	at             time.Time
	version        int
	removed, added string
}

// keyWatch publishes versions that take keys away and add others, and checks what becomes
// of requests with these keys.
type keyWatch struct {
	f  *fleet
	mu guard
	// changes are the acknowledged versions, the last one last.
	changes []keyChange
	version int
	// sent holds the requests with a key that was taken away longer than applyBound before
	// they were sent.
	sent map[string]string
	// inTouch reports whether a machine is in touch.
	inTouch func(m *machine, at time.Time) bool
	served  int
}

func newKeyWatch(f *fleet) *keyWatch {
	k := &keyWatch{f: f, mu: newGuard(), version: 16, sent: make(map[string]string), inTouch: func(*machine, time.Time) bool { return true }}
	for _, m := range f.machines {
		m.upstream.onRun = k.ran
	}
	return k
}

func (k *keyWatch) key(version int) string { return fmt.Sprintf("key-%d-of-pulo780", version) }

// configuration returns the version with the key of that version.
func (k *keyWatch) configuration() map[string]any {
	return configuration(k.version,
		route("r-doc", "doc.example", "/doc/", "safe", "doku", 2), route("r-book", "book.example", "/book/", "unsafe", "termin", 1),
		route("r-check", "check.example", "/check/", "safe", "messung", 1),
		service("doku"), service("termin"), service("messung"), tenant("pulo780", "key-of-pulo780", k.key(k.version)))
}

// publish writes the next version.
func (k *keyWatch) publish() {
	k.mu.lock()
	defer k.mu.unlock()
	removed := k.key(k.version)
	k.version += 3
	at := k.f.store.put("op/config", k.configuration())
	k.changes = append(k.changes, keyChange{at: at, version: k.version, removed: removed, added: k.key(k.version)})
	k.f.record.printf("the store acknowledges version %08x, which takes %s away and adds %s", k.version, removed, k.key(k.version))
}

// ran checks a request that an upstream begins to run.
func (k *keyWatch) ran(u *upstream, r *http.Request, _ []byte) {
	k.mu.lock()
	why, ok := k.sent[r.Header.Get("X-Request-Id")]
	k.mu.unlock()
	if ok {
		k.f.record.breach("server %s runs %s, %s", u.id, r.Header.Get("X-Request-Id"), why)
	}
}

// client sends a request each 50 ms to a machine, in turn with the key taken away last and
// the key added last.
func (k *keyWatch) client(m *machine, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		k.mu.lock()
		if len(k.changes) == 0 {
			k.mu.unlock()
			continue
		}
		last := k.changes[len(k.changes)-1]
		id, now := newID(), time.Now()
		late := now.Sub(last.at) > applyBound && k.inTouch(m, now)
		key := last.removed
		if n%2 == 1 {
			key = last.added
		} else if late {
			k.sent[id] = fmt.Sprintf("sent at %s with %s %.2f s after the acknowledgement of version %08x, which takes it away",
				m.name, key, now.Sub(last.at).Seconds(), last.version)
		}
		k.mu.unlock()
		c, err := dial(k.f.address(m, portOutbound))
		if err != nil {
			continue
		}
		target := fmt.Sprintf("/doc/%s/%d", m.name, n)
		a, err := c.send(http.MethodGet, target, time.Second, []string{
			"Host: doc.example", "X-Request-Id: " + id, "Authorization: Bearer " + key,
		}, nil)
		_ = c.Close()
		if err != nil {
			k.f.record.printf("client at %s sent %s with %s: %v", m.name, id, key, err)
			continue
		}
		k.f.record.printf("client at %s sent %s with %s, gets %d: %s", m.name, id, key, a.status, strings.TrimSpace(string(a.body)))
		k.mu.lock()
		// A later version, which may be in force already, takes the added key away.
		current := k.changes[len(k.changes)-1].version == last.version
		k.mu.unlock()
		if n%2 == 1 && late && current && a.status == http.StatusUnauthorized {
			k.f.record.breach("the client of %s at %s gets 401 with %s, sent %.2f s after the acknowledgement of version %08x, which adds it",
				id, m.name, key, now.Sub(last.at).Seconds(), last.version)
		}
		if a.status == http.StatusOK {
			k.mu.lock()
			k.served++
			k.mu.unlock()
		}
	}
}
