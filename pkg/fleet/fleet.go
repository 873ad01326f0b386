package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// vanishedGrace is how long an instance stays usable after its entry vanished
	// although it was not draining. Together with the delay before daemons learn of
	// the change, it must stay below the shortest drain time.
	vanishedGrace = 500 * time.Millisecond
	// outageGrace is how long after the store was last unavailable an instance stays
	// usable whose entry expired because of that. Running instances restore their
	// entries within two seconds of the store's recovery.
	outageGrace = 2500 * time.Millisecond
	// expiryWindow is how long after the store was last unavailable an entry may still
	// expire because of that. A later removal means that the instance has left.
	expiryWindow = 1500 * time.Millisecond
	// removedRetention is how long the address of a removed instance is kept, since
	// a daemon may still be running there.
	removedRetention = 30 * time.Second
)

type record struct {
	instance Instance
	// removedAt is when the entry vanished from the store, zero while it is present.
	removedAt time.Time
	// usableUntil is when an instance whose entry vanished becomes unusable.
	usableUntil time.Time
	// expired states that the entry may have vanished because the store was unavailable.
	expired bool
}

func (r record) usable(now time.Time) bool {
	return !r.instance.draining && (r.removedAt.IsZero() || now.Before(r.usableUntil))
}

// Fleet is the set of published instances. It is safe for concurrent use. Use New to
// create one.
type Fleet struct {
	// mu has rank lock.Members and guards the fields below.
	mu        *lock.Mutex
	records   map[string]record
	evacuated map[string]bool
	// services are the services of the configuration, or nil before there is one, and
	// daemons the hosts that were seen to run a daemon.
	services, daemons map[string]bool
	// restoredAt is when each data centre last returned to service.
	restoredAt map[string]time.Time
	// storeUnavailableAt is when the store was last unavailable.
	storeUnavailableAt time.Time
	// usable holds the results of UsableInstances by service, and hosts that of Hosts.
	// They are cleared by each change.
	usable map[string]usableList
	hosts  []Host
}

// usableList is the list of usable instances of a service. It holds until an instance whose
// entry vanished becomes unusable.
type usableList struct {
	instances []Instance
	until     time.Time
}

// changed clears what was derived from the records.
func (f *Fleet) changed() {
	clear(f.usable)
	f.hosts = nil
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		mu:         lock.New(lock.Members),
		records:    make(map[string]record),
		evacuated:  make(map[string]bool),
		daemons:    make(map[string]bool),
		restoredAt: make(map[string]time.Time),
		usable:     make(map[string]usableList),
	}
}

// Put adds a published instance, or replaces the record with its id, including a
// removed one.
func (f *Fleet) Put(i Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records[i.id] = record{instance: i}
	f.changed()
}

// Remove records that the entry of an instance vanished from the store. Unless it was
// draining, the instance stays usable for 500 ms, or until 2.5 s after the store was
// last unavailable if that was less than 1.5 s ago. It returns false, and has no effect, if
// the instance is unknown or already removed.
func (f *Fleet) Remove(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[id]
	if !ok || !r.removedAt.IsZero() {
		return false
	}
	r.removedAt = now
	r.usableUntil = now.Add(vanishedGrace)
	if now.Sub(f.storeUnavailableAt) < expiryWindow {
		r.usableUntil = f.storeUnavailableAt.Add(outageGrace)
		r.expired = true
	}
	f.records[id] = r
	f.changed()
	return true
}

// MarkLeft records that an instance has left, as another daemon has seen. It is not usable from now on.
func (f *Fleet) MarkLeft(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[id]
	if !ok {
		return
	}
	r.removedAt, r.usableUntil, r.expired = now, now, false
	f.records[id] = r
	f.changed()
}

// MarkStoreUnavailable records that the store was unavailable at the given time. A time
// before an earlier call's is ignored.
func (f *Fleet) MarkStoreUnavailable(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.storeUnavailableAt) {
		f.storeUnavailableAt = at
	}
}

// SetServices sets the names of the services in the configuration. Entries of other
// services may come from writers that know nothing of the fleet, so they are no reason to
// look for a daemon on their hosts. The map is retained.
func (f *Fleet) SetServices(names map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services = names
	f.hosts = nil
}

// AddDaemon records that a host, given by its IP address, runs a daemon.
func (f *Fleet) AddDaemon(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.daemons[host] {
		f.daemons[host] = true
		f.hosts = nil
	}
}

// SetEvacuated takes the named data centre out of service, or returns it to
// service. Its instances remain in the fleet.
func (f *Fleet) SetEvacuated(now time.Time, centre string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuated[centre] && !evacuated {
		f.restoredAt[centre] = now
	}
	f.evacuated[centre] = evacuated
	f.changed()
}

// Evacuated reports whether a data centre is out of service.
func (f *Fleet) Evacuated(centre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated[centre]
}

// RestoredAt returns when a data centre last returned to service, or the zero time
// if it never did.
func (f *Fleet) RestoredAt(centre string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restoredAt[centre]
}

// UsableInstances returns the instances of a service that may receive requests,
// sorted by id: those that are published and not draining, or vanished a short time
// ago, in data centres that are not out of service. The caller must not modify the slice.
// now must not be before that of an earlier call by more than a moment.
func (f *Fleet) UsableInstances(now time.Time, service string) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.usable[service]; ok && (known.until.IsZero() || now.Before(known.until)) {
		return known.instances
	}
	var list usableList
	for _, r := range f.records {
		i := r.instance
		if i.service != service || !r.usable(now) || f.evacuated[i.centre] {
			continue
		}
		list.instances = append(list.instances, i)
		if !r.removedAt.IsZero() && (list.until.IsZero() || r.usableUntil.Before(list.until)) {
			list.until = r.usableUntil
		}
	}
	slices.SortFunc(list.instances, func(a, b Instance) int { return cmp.Compare(a.id, b.id) })
	f.usable[service] = list
	return list.instances
}

// Get returns the instance with the given id, whether it may receive requests, as
// UsableInstances says, and whether it is known.
func (f *Fleet) Get(now time.Time, id string) (i Instance, usable, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[id]
	return r.instance, ok && r.usable(now) && !f.evacuated[r.instance.centre], ok
}

// Left reports whether the entry of an instance vanished within about the last 30 s, and not
// because the store was unavailable.
func (f *Fleet) Left(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[id]
	return ok && !r.removedAt.IsZero() && !r.expired
}

// ByAddress returns the instance of a service at an address, whether it may receive
// requests, and whether there is one. Of several instances it prefers a usable one,
// then the one that started last. It disregards whether the data centre is out of
// service.
func (f *Fleet) ByAddress(now time.Time, service string, address Address) (i Instance, usable, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records {
		if r.instance.service != service || r.instance.address != address {
			continue
		}
		if !ok || supersedes(r, i, usable, now) {
			i, usable, ok = r.instance, r.usable(now), true
		}
	}
	return i, usable, ok
}

// supersedes reports whether a record is preferred to the instance found before,
// whose usability is given.
func supersedes(r record, found Instance, usable bool, now time.Time) bool {
	if r.usable(now) != usable {
		return r.usable(now)
	}
	return r.instance.startedAt.After(found.startedAt)
}

// Host is a machine on which a daemon may run, or have run recently.
type Host struct {
	ip      string
	centre  string
	live    bool
	serving bool
}

// IP returns the IP address.
func (h Host) IP() string { return h.ip }

// Centre returns the name of the data centre.
func (h Host) Centre() string { return h.centre }

// Live reports whether the store has an entry for an instance on the host.
func (h Host) Live() bool { return h.live }

// Serving reports whether the host's instance belongs to a service of the configuration,
// or whether there is no configuration yet.
func (h Host) Serving() bool { return h.serving }

// Hosts returns the hosts of all published instances and of those that were removed
// within about the last 30 s, sorted by the text of their IP addresses. Hosts whose instances
// belong to no service of the configuration are left out unless they run a daemon. The
// caller must not modify the slice.
func (f *Fleet) Hosts() []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts != nil {
		return f.hosts
	}
	latest := make(map[string]record)
	for _, r := range f.records {
		ip := r.instance.address.Host()
		if !f.serving(r) && !f.daemons[ip] {
			continue
		}
		if other, ok := latest[ip]; !ok || f.describesHost(r, other) {
			latest[ip] = r
		}
	}
	list := make([]Host, 0, len(latest))
	for ip, r := range latest {
		list = append(list, Host{ip: ip, centre: r.instance.centre, live: r.removedAt.IsZero(), serving: f.serving(r)})
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.ip, b.ip) })
	f.hosts = list
	return list
}

// Host returns the element of Hosts with an IP address.
func (f *Fleet) Host(ip string) (Host, bool) {
	hosts := f.Hosts()
	i, ok := slices.BinarySearchFunc(hosts, ip, func(h Host, ip string) int { return cmp.Compare(h.ip, ip) })
	if !ok {
		return Host{}, false
	}
	return hosts[i], true
}

// serving reports whether a record belongs to a service of the configuration. The caller
// holds mu.
func (f *Fleet) serving(r record) bool { return f.services == nil || f.services[r.instance.service] }

// describesHost reports whether a record is preferred to another one for the same host:
// one of a service of the configuration, then one that is present in the store, then the
// one that started last. The caller holds mu.
func (f *Fleet) describesHost(r, other record) bool {
	if f.serving(r) != f.serving(other) {
		return f.serving(r)
	}
	if r.removedAt.IsZero() != other.removedAt.IsZero() {
		return r.removedAt.IsZero()
	}
	if !r.instance.startedAt.Equal(other.instance.startedAt) {
		return r.instance.startedAt.After(other.instance.startedAt)
	}
	return r.instance.id < other.instance.id
}

// Size returns the number of published instances, including draining ones.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.records {
		if r.removedAt.IsZero() {
			n++
		}
	}
	return n
}

// IDs returns the ids of all published instances and of those that were removed within
// about the last 30 s. The map is new.
func (f *Fleet) IDs() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make(map[string]bool, len(f.records))
	for id := range f.records {
		ids[id] = true
	}
	return ids
}

// Sweep deletes the records of instances that were removed more than 30 s ago. Without
// regular calls, they accumulate.
func (f *Fleet) Sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, r := range f.records {
		if !r.removedAt.IsZero() && now.Sub(r.removedAt) > removedRetention {
			delete(f.records, id)
			f.changed()
		}
	}
	published := make(map[string]bool, len(f.daemons))
	for _, r := range f.records {
		if ip := r.instance.address.Host(); f.daemons[ip] {
			published[ip] = true
		}
	}
	f.daemons = published
}
