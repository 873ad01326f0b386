package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// storeItem is an item of the store or an event of a watch, as in PROTOCOL.md.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history and
// serves every read from its current content.
type store struct {
	mu       guard
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	// times are the times of the events.
	times []time.Time
	// pageItems is the size of a page. If staleAge is set, serializable reads of pages after
	// the first are answered from a copy of that age.
	pageItems int
	staleAge  time.Duration
	// changed is closed and replaced at each change.
	changed chan struct{}
	// onWatch is called when a watch arrives, with the store's address that it was sent to.
	// Each machine has one of its own, so that it tells which machine reads.
	onWatch func(address string)
	server  *http.Server
	record  *record
}

func newStore(addresses []string, r *record) (*store, error) {
	s := &store{mu: newGuard(), revision: 100, items: make(map[string]storeItem), changed: make(chan struct{}), record: r, pageItems: 500, onWatch: func(string) {}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen for store: %w", err)
		}
		go func() { _ = s.server.Serve(l) }()
	}
	return s, nil
}

// put writes a value as JSON and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	s.mu.lock()
	defer s.mu.unlock()
	s.revision++
	i := storeItem{Key: key, Value: text, Rev: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.add(i)
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.lock()
	defer s.mu.unlock()
	s.revision++
	delete(s.items, key)
	s.add(storeItem{Key: key, Rev: s.revision, Removed: true})
}

func (s *store) add(event storeItem) {
	s.events = append(s.events, event)
	s.times = append(s.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// itemsAt returns the items as of a time. The caller holds the lock.
func (s *store) itemsAt(at time.Time) map[string]storeItem {
	items := make(map[string]storeItem)
	for n, e := range s.events {
		switch {
		case s.times[n].After(at):
			return items
		case e.Removed:
			delete(items, e.Key)
		default:
			items[e.Key] = e
		}
	}
	return items
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store-revision": revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": 0, "store-revision": revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.lock()
	items := s.items
	if s.staleAge > 0 && q.Get("serializable") == "1" && q.Get("after") != "" {
		items = s.itemsAt(time.Now().Add(-s.staleAge))
	}
	list := make([]storeItem, 0)
	for key, i := range items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.unlock()
	slices.SortFunc(list, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > s.pageItems
	if more {
		list = list[:s.pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "has-more": more, "store-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		s.onWatch(local.String())
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.lock()
		events := make([]storeItem, 0)
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
