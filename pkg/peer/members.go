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

// DigestBuckets is how many groups the view is split into to be compared.
const DigestBuckets = 16

// rumourRounds is how many exchanges pass a changed entry on.
const rumourRounds = 6

// backoff bounds how long a failed daemon is left alone.
const (
	backoffFirst = 200 * time.Millisecond
	backoffLast  = 5 * time.Second
)

// Instance is one daemon in its backend server's slot.
type Instance struct {
	name, service, centre string
	peer, caller          string
	leaving, gone         bool
	revision              uint64
	incarnation           uint64
}

// NewInstance returns a daemon with its addresses, IP and port, for other
// daemons and for callers.
func NewInstance(name, service, centre, peer, caller string) Instance {
	return Instance{name: name, service: service, centre: centre, peer: peer, caller: caller}
}

// WithVersion returns the instance as of a list's revision and a process's incarnation.
func (i Instance) WithVersion(revision, incarnation uint64) Instance {
	i.revision = revision
	i.incarnation = incarnation
	return i
}

// WithState returns the instance with its state.
func (i Instance) WithState(leaving, gone bool) Instance {
	i.leaving = leaving
	i.gone = gone
	return i
}

// Name returns the slot's name.
func (i Instance) Name() string { return i.name }

// Service returns the service's name.
func (i Instance) Service() string { return i.service }

// Centre returns the data centre's name.
func (i Instance) Centre() string { return i.centre }

// PeerAddress returns the address for other daemons.
func (i Instance) PeerAddress() string { return i.peer }

// CallerAddress returns the address for callers.
func (i Instance) CallerAddress() string { return i.caller }

// Leaving says whether the daemon is on its way out.
func (i Instance) Leaving() bool { return i.leaving }

// Removed says whether the slot has no daemon any more.
func (i Instance) Removed() bool { return i.gone }

// Revision returns the revision of the list in which the entry last changed.
func (i Instance) Revision() uint64 { return i.revision }

// Incarnation returns the process's start in nanoseconds, zero if not known.
func (i Instance) Incarnation() uint64 { return i.incarnation }

// newer says whether i replaces old. What a process tells of itself goes
// before the list; among equals leaving is final, and the rest only makes the
// order total.
func (i Instance) newer(old Instance) bool {
	c := cmp.Or(
		cmp.Compare(i.incarnation, old.incarnation),
		cmp.Compare(i.revision, old.revision),
		compareBool(i.leaving, old.leaving),
		compareBool(i.gone, old.gone),
		cmp.Compare(i.peer, old.peer),
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

// member is an entry with what this daemon itself has seen of it.
type member struct {
	instance Instance
	// listed is what the list said last; bylist says that its addresses are
	// tried, since those that the process told of itself have failed.
	listed   Instance
	bylist   bool
	rounds   int
	failures int
	until    time.Time
}

// current returns the entry with the addresses to use now.
func (e *member) current() Instance {
	i := e.instance
	if e.bylist {
		i.peer = e.listed.peer
		i.caller = e.listed.caller
	}
	return i
}

// Members is the view. Make one with NewMembers.
type Members struct {
	mu       *lock.Mutex
	self     Instance
	entries  map[string]*member
	revision uint64
}

// NewMembers returns a view that holds self alone.
func NewMembers(self Instance) *Members {
	m := &Members{
		mu:      lock.New(lock.Members),
		self:    self,
		entries: make(map[string]*member),
	}
	m.entries[self.name] = &member{instance: self, rounds: rumourRounds}
	return m
}

// Self returns the daemon's own entry.
func (m *Members) Self() Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Leave marks the daemon itself as leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.leaving = true
	m.entries[m.self.name] = &member{instance: m.self, rounds: rumourRounds}
}

// ApplyList merges the platform's instance list. A list of a lower revision than
// one seen before is stale and changes nothing. It returns whether it counted.
func (m *Members) ApplyList(revision uint64, list []Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return false
	}
	// All daemons read the first list: there is nothing in it to pass on.
	quiet := m.revision == 0
	m.revision = revision
	present := make(map[string]bool, len(list))
	for _, i := range list {
		present[i.name] = true
		m.list(revision, i)
		if e, known := m.entries[i.name]; quiet && known && i.name != m.self.name {
			e.rounds = 0
		}
	}
	for name, e := range m.entries {
		if present[name] || name == m.self.name || e.instance.gone {
			continue
		}
		if e.instance.revision == 0 {
			// The daemon told of itself and the list has yet to have it.
			continue
		}
		gone := e.instance
		gone.gone = true
		gone.revision = revision
		m.set(gone)
	}
	return true
}

// list merges one entry of the list. Of a process that has told of itself the
// list only tells whether it is leaving: its addresses may lag behind.
func (m *Members) list(revision uint64, i Instance) {
	if i.name == m.self.name {
		return
	}
	e, known := m.entries[i.name]
	if !known {
		m.set(i.WithVersion(revision, 0))
		m.entries[i.name].listed = i
		return
	}
	e.listed = i
	next := i
	if e.instance.incarnation > 0 {
		next = e.instance
		next.leaving = next.leaving || i.leaving
	}
	next.gone = false
	next = next.WithVersion(e.instance.revision, e.instance.incarnation)
	if next != e.instance {
		m.set(next.WithVersion(revision, e.instance.incarnation))
	}
}

// Merge takes in entries that another daemon passed on.
func (m *Members) Merge(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range list {
		if i.name == m.self.name {
			continue
		}
		e, known := m.entries[i.name]
		if !known || i.newer(e.instance) {
			m.set(i)
		}
	}
}

// set replaces an entry and keeps what the list said of it.
func (m *Members) set(i Instance) {
	next := &member{instance: i, rounds: rumourRounds}
	if e, known := m.entries[i.name]; known {
		next.listed = e.listed
	}
	m.entries[i.name] = next
}

// RecentChanges returns the entries that changed lately, each for a few calls.
func (m *Members) RecentChanges(most int) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Instance
	for _, e := range m.entries {
		if len(list) == most {
			break
		}
		if e.rounds > 0 {
			e.rounds--
			list = append(list, e.instance)
		}
	}
	return list
}

// Digests returns a hash of each bucket of the view, 8 bytes a bucket.
func (m *Members) Digests() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sums [DigestBuckets]uint64
	for name, e := range m.entries {
		sums[bucket(name)] ^= e.instance.hash()
	}
	out := make([]byte, 0, DigestBuckets*8)
	for _, s := range sums {
		out = binary.BigEndian.AppendUint64(out, s)
	}
	return out
}

// DifferingEntries returns the entries of the first bucket, from a start that turns
// with each call's turn, whose hash differs from the other side's digests.
func (m *Members) DifferingEntries(digests []byte, turn int) []Instance {
	own := m.Digests()
	if len(digests) != len(own) {
		return nil
	}
	for k := range DigestBuckets {
		b := (turn + k) % DigestBuckets
		if !slices.Equal(own[b*8:b*8+8], digests[b*8:b*8+8]) {
			return m.bucketOf(b)
		}
	}
	return nil
}

func (m *Members) bucketOf(b int) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Instance
	for name, e := range m.entries {
		if bucket(name) == b {
			list = append(list, e.instance)
		}
	}
	return list
}

func bucket(name string) int {
	return int(xxhash.Sum64String(name) % DigestBuckets)
}

func (i Instance) hash() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{i.name, i.peer, i.caller, i.centre, i.service} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.WriteString(strconv.FormatBool(i.leaving) + strconv.FormatBool(i.gone))
	_, _ = h.WriteString(strconv.FormatUint(i.revision, 16) + "/" + strconv.FormatUint(i.incarnation, 16))
	return h.Sum64()
}

// Get returns the entry of a slot.
func (m *Members) Get(name string) (Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	if !ok {
		return Instance{}, false
	}
	return e.current(), true
}

// All returns all entries by name, the daemon's own included.
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

// Live returns the names of the daemons of a data centre that are neither
// leaving nor gone nor failing, the daemon's own included. An empty centre
// stands for all of them.
func (m *Members) Live(now time.Time, centre string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, e := range m.entries {
		i := e.instance
		if i.leaving || i.gone || now.Before(e.until) {
			continue
		}
		if centre == "" || i.centre == centre {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RecordFailure notes that a daemon could not be reached. It is left alone for a
// while that doubles with each failure. Where the list has other addresses than
// the daemon told of itself, they take turns.
func (m *Members) RecordFailure(now time.Time, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	if !ok || name == m.self.name {
		return
	}
	wait := min(backoffFirst<<min(e.failures, 10), backoffLast)
	e.failures++
	e.until = now.Add(wait)
	if e.listed.peer != "" && e.listed.peer != e.instance.peer {
		e.bylist = !e.bylist
	}
}

// RecordSuccess notes that a daemon was reached.
func (m *Members) RecordSuccess(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[name]; ok {
		e.failures = 0
		e.until = time.Time{}
	}
}

// Reachable says whether a daemon may be tried now: its address is known, it
// is not gone, and no failure is fresh.
func (m *Members) Reachable(now time.Time, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	return ok && !e.instance.gone && e.instance.peer != "" && !now.Before(e.until)
}
