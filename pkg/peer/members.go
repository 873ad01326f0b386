package peer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// DigestBuckets is the number of buckets of entries whose hashes two daemons
// compare to find differences between their views.
const DigestBuckets = 16

// gossipRepeats is the number of gossip messages in which a changed entry is sent.
const gossipRepeats = 6

// Bounds of the exponential backoff after a failure to reach a daemon.
const (
	backoffInitial = 200 * time.Millisecond
	backoffMax     = 5 * time.Second
)

// Instance is the entry of one daemon in the membership view. A daemon has the name of
// the backend server that it runs beside.
type Instance struct {
	name, service, centre      string
	peerAddress, callerAddress string
	leaving, removed           bool
	revision                   uint64
	incarnation                uint64
}

// NewInstance returns an instance of a service in the data centre named centre.
// peerAddress and callerAddress are the addresses, in the form "IP:port", at which the
// daemon serves other daemons and callers; they are empty if unknown.
func NewInstance(name, service, centre, peerAddress, callerAddress string) Instance {
	return Instance{name: name, service: service, centre: centre, peerAddress: peerAddress, callerAddress: callerAddress}
}

// WithVersion returns a copy of the instance with the revision of an instance list and
// the incarnation of a process, as Revision and Incarnation return them.
func (i Instance) WithVersion(revision, incarnation uint64) Instance {
	i.revision = revision
	i.incarnation = incarnation
	return i
}

// WithState returns a copy of the instance with the given state; see Leaving and
// Removed.
func (i Instance) WithState(leaving, removed bool) Instance {
	i.leaving = leaving
	i.removed = removed
	return i
}

// Name returns the daemon's name, which is that of its backend server.
func (i Instance) Name() string { return i.name }

// Service returns the service's name.
func (i Instance) Service() string { return i.service }

// Centre returns the data centre's name.
func (i Instance) Centre() string { return i.centre }

// PeerAddress returns the address at which the daemon serves other daemons, as
// "IP:port", or the empty string if it is unknown.
func (i Instance) PeerAddress() string { return i.peerAddress }

// CallerAddress returns the address at which the daemon serves callers, as "IP:port",
// or the empty string if it is unknown.
func (i Instance) CallerAddress() string { return i.callerAddress }

// Leaving reports whether the daemon is shutting down.
func (i Instance) Leaving() bool { return i.leaving }

// Removed reports whether the instance list no longer has the entry.
func (i Instance) Removed() bool { return i.removed }

// Revision returns the revision of the instance list in which the entry last
// changed, or zero if it has not been in a list.
func (i Instance) Revision() uint64 { return i.revision }

// Incarnation returns the start time of the daemon's process in nanoseconds since the
// Unix epoch, or zero if it is unknown. A later process has a higher incarnation.
func (i Instance) Incarnation() uint64 { return i.incarnation }

// newer reports whether i replaces old. What a process reports about itself takes
// precedence over the list. Within an incarnation and revision, leaving is final;
// the remaining fields only make the order total.
func (i Instance) newer(old Instance) bool {
	c := cmp.Or(
		cmp.Compare(i.incarnation, old.incarnation),
		cmp.Compare(i.revision, old.revision),
		compareBool(i.leaving, old.leaving),
		compareBool(i.removed, old.removed),
		cmp.Compare(i.peerAddress, old.peerAddress),
	)
	return c > 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// member is an entry with this daemon's own state about it.
type member struct {
	instance Instance
	// listed is the entry in the latest list that had it. useListed selects its
	// addresses, after those that the process reported about itself have failed.
	listed      Instance
	useListed   bool
	repeatsLeft int
	failures    int
	retryAt     time.Time
}

// current returns the entry with the addresses to be tried next.
func (e *member) current() Instance {
	i := e.instance
	if e.useListed {
		i.peerAddress = e.listed.peerAddress
		i.callerAddress = e.listed.callerAddress
	}
	return i
}

// Members is the membership view of a daemon. It is safe for concurrent use. Create
// one with NewMembers.
type Members struct {
	// mu has rank lock.Members and guards the fields below.
	mu       *lock.Mutex
	self     Instance
	entries  map[string]*member
	revision uint64
}

// NewMembers returns a view whose only entry is the daemon's own, which should have the
// incarnation of the process.
func NewMembers(self Instance) *Members {
	m := &Members{
		mu:      lock.New(lock.Members),
		self:    self,
		entries: make(map[string]*member),
	}
	m.entries[self.name] = &member{instance: self, repeatsLeft: gossipRepeats}
	return m
}

// Self returns the daemon's own entry.
func (m *Members) Self() Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Leave marks the daemon's own entry as leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.leaving = true
	m.entries[m.self.name] = &member{instance: m.self, repeatsLeft: gossipRepeats}
}

// ApplyList merges the platform's instance list of a revision, which must be at
// least 1, and reports whether it was newer than all lists before. Any other list is
// stale and ignored. Entries that the list no longer has are marked as removed. The
// slice is not retained.
func (m *Members) ApplyList(revision uint64, list []Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return false
	}
	// All daemons read their first list themselves, so its entries need no gossip.
	initial := m.revision == 0
	m.revision = revision
	present := make(map[string]bool, len(list))
	for _, i := range list {
		present[i.name] = true
		m.applyListed(revision, i)
		if e, known := m.entries[i.name]; initial && known && i.name != m.self.name {
			e.repeatsLeft = 0
		}
	}
	for name, e := range m.entries {
		if present[name] || name == m.self.name || e.instance.removed {
			continue
		}
		if e.instance.revision == 0 {
			// The daemon has reported itself and is not in the list yet.
			continue
		}
		tombstone := e.instance
		tombstone.removed = true
		tombstone.revision = revision
		m.replace(tombstone)
	}
	return true
}

// applyListed merges one entry of the list. If the process has reported itself,
// only the leaving state is taken from the list, whose addresses may be outdated.
func (m *Members) applyListed(revision uint64, i Instance) {
	if i.name == m.self.name {
		return
	}
	e, known := m.entries[i.name]
	if !known {
		m.replace(i.WithVersion(revision, 0))
		m.entries[i.name].listed = i
		return
	}
	e.listed = i
	next := i
	if e.instance.incarnation > 0 {
		next = e.instance
		next.leaving = next.leaving || i.leaving
	}
	next.removed = false
	next = next.WithVersion(e.instance.revision, e.instance.incarnation)
	if next != e.instance {
		m.replace(next.WithVersion(revision, e.instance.incarnation))
	}
}

// Merge merges entries received from another daemon. Entries that are not newer than
// those in the view, and an entry with the daemon's own name, are ignored. The slice is
// not retained.
func (m *Members) Merge(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range list {
		if i.name == m.self.name {
			continue
		}
		e, known := m.entries[i.name]
		if !known || i.newer(e.instance) {
			m.replace(i)
		}
	}
}

// replace replaces an entry except for the listed one, and schedules it for gossip.
func (m *Members) replace(i Instance) {
	next := &member{instance: i, repeatsLeft: gossipRepeats}
	if e, known := m.entries[i.name]; known {
		next.listed = e.listed
	}
	m.entries[i.name] = next
}

// RecentChanges returns up to limit recently changed entries, for one gossip message.
// Each change is returned by six calls in all.
func (m *Members) RecentChanges(limit int) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Instance
	for _, e := range m.entries {
		if len(list) == limit {
			break
		}
		if e.repeatsLeft > 0 {
			e.repeatsLeft--
			list = append(list, e.instance)
		}
	}
	return list
}

// Digests returns the hashes of the DigestBuckets buckets of the view, 8 bytes each,
// for DifferingEntries at another daemon. Equal views have equal digests.
func (m *Members) Digests() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sums [DigestBuckets]uint64
	for name, e := range m.entries {
		sums[bucketIndex(name)] ^= e.instance.hash()
	}
	digests := make([]byte, 0, DigestBuckets*8)
	for _, s := range sums {
		digests = binary.BigEndian.AppendUint64(digests, s)
	}
	return digests
}

// DifferingEntries returns the entries of the first bucket whose hash differs from
// that in another daemon's digests, or nil if none differs or the digests have the
// wrong length. The search starts at the bucket with the index turn modulo
// DigestBuckets, so that calls with successive turns cover all buckets. turn must not
// be negative.
func (m *Members) DifferingEntries(digests []byte, turn int) []Instance {
	own := m.Digests()
	if len(digests) != len(own) {
		return nil
	}
	for k := range DigestBuckets {
		b := (turn + k) % DigestBuckets
		if !slices.Equal(own[b*8:b*8+8], digests[b*8:b*8+8]) {
			return m.bucketEntries(b)
		}
	}
	return nil
}

// bucketEntries returns the entries of bucket b.
func (m *Members) bucketEntries(b int) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Instance
	for name, e := range m.entries {
		if bucketIndex(name) == b {
			list = append(list, e.instance)
		}
	}
	return list
}

// bucketIndex returns the bucket of the entry with the given name.
func bucketIndex(name string) int {
	return int(xxhash.Sum64String(name) % DigestBuckets)
}

func (i Instance) hash() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{i.name, i.peerAddress, i.callerAddress, i.centre, i.service} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.WriteString(strconv.FormatBool(i.leaving) + strconv.FormatBool(i.removed))
	_, _ = h.WriteString(strconv.FormatUint(i.revision, 16) + "/" + strconv.FormatUint(i.incarnation, 16))
	return h.Sum64()
}

// Get returns the entry of the named daemon and whether there is one. Its
// addresses are those to try next; see RecordFailure.
func (m *Members) Get(name string) (Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	if !ok {
		return Instance{}, false
	}
	return e.current(), true
}

// All returns all entries ordered by name, including removed ones and the daemon's own.
// Their addresses are those to try next; see RecordFailure.
func (m *Members) All() []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Instance, 0, len(m.entries))
	for _, e := range m.entries {
		list = append(list, e.current())
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.name, b.name) })
	return list
}

// Live returns the sorted names of the daemons in a data centre that are not leaving,
// removed or in backoff, including the daemon's own. An empty centre selects all
// data centres.
func (m *Members) Live(now time.Time, centre string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, e := range m.entries {
		i := e.instance
		if i.leaving || i.removed || now.Before(e.retryAt) {
			continue
		}
		if centre == "" || i.centre == centre {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RecordFailure records that a daemon could not be reached. Until the end of a backoff,
// which doubles with each failure from 200 ms to 5 s, Reachable returns false for it.
// If the list has another address than the daemon reported about itself, Get and All
// return the two alternately.
func (m *Members) RecordFailure(now time.Time, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	if !ok || name == m.self.name {
		return
	}
	backoff := min(backoffInitial<<min(e.failures, 10), backoffMax)
	e.failures++
	e.retryAt = now.Add(backoff)
	if e.listed.peerAddress != "" && e.listed.peerAddress != e.instance.peerAddress {
		e.useListed = !e.useListed
	}
}

// RecordSuccess records that a daemon was reached, which ends its backoff.
func (m *Members) RecordSuccess(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[name]; ok {
		e.failures = 0
		e.retryAt = time.Time{}
	}
}

// Reachable reports whether a daemon may be tried now: its address is known, it is
// not removed, and it is not in backoff.
func (m *Members) Reachable(now time.Time, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	return ok && !e.instance.removed && e.instance.peerAddress != "" && !now.Before(e.retryAt)
}
