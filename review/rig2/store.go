package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// storeItem is an item of the store or an event of a watch.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       guard
	era      uint64
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	down     bool
	// writtenAt holds when each event was written.
	writtenAt []time.Time
	// first is the lowest revision after which the history is kept.
	first  uint64
	server *http.Server
}

func newStore(l net.Listener) *store {
	s := &store{mu: newGuard(), era: 1, revision: 100, first: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		w.Header().Set("Content-Type", "application/json")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *store) put(key string, value any) uint64 {
	data, _ := json.Marshal(value)
	return s.write(storeItem{Key: key, Value: data})
}

func (s *store) remove(key string) uint64 { return s.write(storeItem{Key: key, Removed: true}) }

func (s *store) write(i storeItem) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Rev, i.Created = s.revision, s.revision
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.events, s.writtenAt = append(s.events, i), append(s.writtenAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// suspend makes the store answer 503.
func (s *store) suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// restore makes the store available in a new era, with what had been written up to a moment.
func (s *store) restore(upTo time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.events) && s.writtenAt[kept].Before(upTo) {
		kept++
	}
	s.events, s.writtenAt = slices.Clone(s.events[:kept]), slices.Clone(s.writtenAt[:kept])
	s.items, s.revision = make(map[string]storeItem), s.first
	for _, e := range s.events {
		s.revision = e.Rev
		if e.Removed {
			delete(s.items, e.Key)
		} else {
			s.items[e.Key] = e
		}
	}
	s.era++
	s.down = false
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		storeItem
		Revision uint64 `json:"store-revision"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	list := make([]storeItem, 0, len(keys))
	for _, key := range keys {
		list = append(list, s.items[key])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "has-more": more, "store-revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.down || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.first || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		list := []storeItem{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				list = append(list, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
