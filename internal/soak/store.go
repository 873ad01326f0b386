package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// wireItem is an item of the store or an event of a watch.
type wireItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// wirePage is a response of the store to a read of a range, wireEvents one to a watch.
type wirePage struct {
	Items    []wireItem `json:"items"`
	More     bool       `json:"has-more"`
	Revision uint64     `json:"store-revision"`
}

type wireEvents struct {
	Events   []wireItem `json:"events"`
	Revision uint64     `json:"store-revision"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       *lock.Mutex
	revision uint64
	items    map[string]wireItem
	events   []wireItem
	// changed is closed and replaced at each change.
	changed chan struct{}
	server  *http.Server
}

// firstRevision is the store's revision at its start. Zero would mean that it holds nothing.
const firstRevision = 100

func newStore(l net.Listener) *store {
	s := &store{mu: lock.New(lock.Store), revision: firstRevision, items: make(map[string]wireItem), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// put writes a value.
func (s *store) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.write(wireItem{Key: key, Value: text})
	return nil
}

func (s *store) remove(key string) { s.write(wireItem{Key: key, Removed: true}) }

func (s *store) write(i wireItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Rev = s.revision
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Rev
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	page := wirePage{Items: []wireItem{}, Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			page.Items = append(page.Items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b wireItem) int { return strings.Compare(a.Key, b.Key) })
	reply(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
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
		found := wireEvents{Events: []wireItem{}}
		s.mu.Lock()
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found.Events = append(found.Events, e)
			}
		}
		changed := s.changed
		found.Revision = s.revision
		s.mu.Unlock()
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

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The daemon has left if this fails.
	_ = json.NewEncoder(w).Encode(body)
}
