package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// eraHeader is the header field of all responses with the store's era.
const eraHeader = "Store-Era"

const (
	// firstRevision is the store's revision at its start. Zero would mean that it holds nothing.
	firstRevision = 100
	// firstEra is the era until the store is restored for the first time.
	firstEra = 1
)

// storeItem is an item of the store or an event of a watch.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// storePage is a response to a read of a range, storeEvents one to a watch.
type storePage struct {
	Items    []storeItem `json:"items"`
	More     bool        `json:"has-more"`
	Revision uint64      `json:"store-revision"`
}

type storeEvents struct {
	Events   []storeItem `json:"events"`
	Revision uint64      `json:"store-revision"`
}

// Store is a stand-in for the operators' store. It keeps the whole history of its era, and can
// be unavailable for a while and come back from an older copy. It is safe for concurrent use. Use
// NewStore to create one.
type Store struct {
	// mu has rank lock.Store and guards the fields below.
	mu            *lock.Mutex
	era, revision uint64
	items         map[string]storeItem
	events        []storeItem
	// writtenAt holds when each event was written.
	writtenAt []time.Time
	// restoredAt is the revision at which the era began.
	restoredAt  uint64
	unavailable bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	mux     *http.ServeMux
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		mu: lock.New(lock.Store), era: firstEra, revision: firstRevision, restoredAt: firstRevision,
		items: make(map[string]storeItem), changed: make(chan struct{}), mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /kv-key", s.serveKey)
	s.mux.HandleFunc("GET /kv-range", s.serveRange)
	s.mux.HandleFunc("GET /kv-watch", s.serveWatch)
	return s
}

// Put writes a value. It waits while the store is unavailable.
func (s *Store) Put(key string, value []byte) { s.write(storeItem{Key: key, Value: value}) }

// Remove removes an item. It waits while the store is unavailable.
func (s *Store) Remove(key string) { s.write(storeItem{Key: key, Removed: true}) }

func (s *Store) write(i storeItem) {
	for {
		s.mu.Lock()
		if !s.unavailable {
			s.append(i)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		<-changed
	}
}

// append writes an item. The caller holds mu.
func (s *Store) append(i storeItem) {
	s.revision++
	i.Rev = s.revision
	s.set(&i)
	s.events, s.writtenAt = append(s.events, i), append(s.writtenAt, time.Now())
	s.wake()
}

func (s *Store) set(i *storeItem) {
	if i.Removed {
		delete(s.items, i.Key)
		return
	}
	i.Created = i.Rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = *i
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Suspend makes the store unavailable: it closes every connection without a response.
func (s *Store) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = true
	s.wake()
}

// Lost is the last write of a key that a restored store has lost.
type Lost struct {
	item storeItem
	// era is the one that lacks the write.
	era uint64
}

// Key returns the key.
func (l Lost) Key() string { return l.item.Key }

// Restore makes the store available in a new era, with what had been written some time ago. It
// returns the last write of each key since.
func (s *Store) Restore(ago time.Duration) (lost []Lost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, _ := slices.BinarySearchFunc(s.writtenAt, time.Now().Add(-ago), time.Time.Compare)
	dropped := s.events[kept:]
	s.events, s.writtenAt = slices.Clone(s.events[:kept]), slices.Clone(s.writtenAt[:kept])
	s.era++
	s.unavailable = false
	s.revision = firstRevision
	clear(s.items)
	for _, i := range s.events {
		s.revision = i.Rev
		s.set(&i)
	}
	s.restoredAt = s.revision
	s.wake()
	seen := make(map[string]bool)
	for _, i := range slices.Backward(dropped) {
		if !seen[i.Key] {
			seen[i.Key] = true
			lost = append(lost, Lost{item: i, era: s.era})
		}
	}
	return lost
}

// WriteAgain writes what a restored store has lost, unless the key has been written since or the
// store has been restored again.
func (s *Store) WriteAgain(l Lost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := slices.ContainsFunc(s.events, func(e storeItem) bool { return e.Key == l.item.Key && e.Rev > s.restoredAt })
	if s.era == l.era && !s.unavailable && !written {
		s.append(l.item)
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// begin sets the era of a response. The connection ends without one if the store is unavailable.
// The caller holds mu.
func (s *Store) begin(w http.ResponseWriter) {
	if s.unavailable {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	i, ok := s.readKey(w, r.URL.Query().Get("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, i)
}

func (s *Store) readKey(w http.ResponseWriter, key string) (storeItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(w)
	i, ok := s.items[key]
	return i, ok
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	reply(w, s.readRange(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after")))
}

func (s *Store) readRange(w http.ResponseWriter, prefix, after string) storePage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(w)
	page := storePage{Items: []storeItem{}, Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, i)
		}
	}
	slices.SortFunc(page.Items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	return page
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for expired := false; ; {
		found, changed, known := s.readEvents(w, q.Get("prefix"), after)
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found.Events) > 0 || expired {
			reply(w, found)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// readEvents returns the changes after a revision, a channel that is closed at the next change,
// and whether the store has that revision.
func (s *Store) readEvents(w http.ResponseWriter, prefix string, after uint64) (found storeEvents, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(w)
	found = storeEvents{Events: []storeItem{}, Revision: s.revision}
	for _, e := range s.events {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			found.Events = append(found.Events, e)
		}
	}
	return found, s.changed, after <= s.revision
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The client has left if this fails.
	_ = json.NewEncoder(w).Encode(body)
}
