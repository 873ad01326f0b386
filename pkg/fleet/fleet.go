package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// vanishedUse is how long an instance stays usable that vanished without
	// announcing its leaving. With the time in which daemons hear of it, it stays
	// below the shortest drain time.
	vanishedUse = 500 * time.Millisecond
	// returnUse is how long after trouble with the store instances stay usable
	// that vanished with it: entries of live ones are back within two seconds of
	// its return.
	returnUse = 2500 * time.Millisecond
	// lapseMemory is how long after trouble entries may still vanish because of
	// it. What vanishes later has left.
	lapseMemory = 1500 * time.Millisecond
	// goneMemory is how long the address of a removed instance is remembered,
	// since a daemon may still run there.
	goneMemory = 30 * time.Second
)

type record struct {
	instance Instance
	// gone is when the entry vanished, zero while it is there.
	gone time.Time
	// until is how long a vanished instance stays usable.
	until time.Time
}

func (r record) usable(now time.Time) bool {
	return !r.instance.draining && (r.gone.IsZero() || now.Before(r.until))
}

// Fleet is the published instances. Make one with New.
type Fleet struct {
	// mu, of rank lock.Members, guards what follows.
	mu        *lock.Mutex
	records   map[string]record
	evacuated map[string]bool
	// returned is when a data centre was last taken back.
	returned map[string]time.Time
	trouble  time.Time
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		mu:        lock.New(lock.Members),
		records:   make(map[string]record),
		evacuated: make(map[string]bool),
		returned:  make(map[string]time.Time),
	}
}

// Put takes in a published instance.
func (f *Fleet) Put(i Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records[i.id] = record{instance: i}
}

// Remove notes that an instance's entry vanished from the store.
func (f *Fleet) Remove(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[id]
	if !ok || !r.gone.IsZero() {
		return
	}
	r.gone = now
	r.until = now.Add(vanishedUse)
	if now.Sub(f.trouble) < lapseMemory {
		r.until = f.trouble.Add(returnUse)
	}
	f.records[id] = r
}

// MarkStoreUnavailable notes that the store could not be used at an instant.
func (f *Fleet) MarkStoreUnavailable(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.trouble) {
		f.trouble = at
	}
}

// SetEvacuated takes a data centre out of service or back.
func (f *Fleet) SetEvacuated(now time.Time, centre string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuated[centre] && !out {
		f.returned[centre] = now
	}
	f.evacuated[centre] = out
}

// Evacuated says whether a data centre is out of service.
func (f *Fleet) Evacuated(centre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated[centre]
}

// RestoredAt returns when a data centre was last taken back, zero where it never
// was out.
func (f *Fleet) RestoredAt(centre string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returned[centre]
}

// UsableInstances returns the instances of a service that may get requests, by id.
func (f *Fleet) UsableInstances(now time.Time, service string) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Instance
	for _, r := range f.records {
		i := r.instance
		if i.service == service && r.usable(now) && !f.evacuated[i.centre] {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Get returns an instance by its id, and whether it may still get requests.
func (f *Fleet) Get(now time.Time, id string) (i Instance, usable, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[id]
	return r.instance, ok && r.usable(now), ok
}

// ByAddress returns the newest instance of a service at an address, and whether it may
// still get requests.
func (f *Fleet) ByAddress(now time.Time, service string, address Address) (i Instance, usable, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records {
		if r.instance.service != service || r.instance.address != address {
			continue
		}
		if !ok || newer(r, i, usable, now) {
			i, usable, ok = r.instance, r.usable(now), true
		}
	}
	return i, usable, ok
}

// newer says whether a record replaces the one found before.
func newer(r record, found Instance, usable bool, now time.Time) bool {
	if r.usable(now) != usable {
		return r.usable(now)
	}
	return r.instance.born.After(found.born)
}

// Host is a machine on which a daemon runs, or lately ran.
type Host struct {
	ip     string
	centre string
	live   bool
}

// IP returns the machine's address.
func (h Host) IP() string { return h.ip }

// Centre returns the data centre.
func (h Host) Centre() string { return h.centre }

// Live says whether a backend server is published there now.
func (h Host) Live() bool { return h.live }

// Hosts returns the machines of all instances, by address.
func (f *Fleet) Hosts() []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := make(map[string]Host)
	for _, r := range f.records {
		ip := r.instance.address.Host()
		h := found[ip]
		found[ip] = Host{ip: ip, centre: r.instance.centre, live: h.live || r.gone.IsZero()}
	}
	list := make([]Host, 0, len(found))
	for _, h := range found {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.ip, b.ip) })
	return list
}

// Size returns how many instances are published now.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.records {
		if r.gone.IsZero() {
			n++
		}
	}
	return n
}

// IDs returns the ids of all instances that are published, or lately were.
func (f *Fleet) IDs() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make(map[string]bool, len(f.records))
	for id := range f.records {
		ids[id] = true
	}
	return ids
}

// Sweep forgets instances that vanished long ago.
func (f *Fleet) Sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, r := range f.records {
		if !r.gone.IsZero() && now.Sub(r.gone) > goneMemory {
			delete(f.records, id)
		}
	}
}
