package sidecar_test

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeStore simulates an operators' store that can be listed and watched.
type fakeStore struct {
	mu          sync.Mutex
	items       map[string]storeItem
	log         []storeItem
	revision    uint64
	unavailable bool
	changed     chan struct{}
}

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Removed bool   `json:"removed,omitempty"`
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: make(map[string]storeItem), changed: make(chan struct{}), revision: 1}
}

func (s *fakeStore) put(key, value string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := storeItem{Key: key, Value: []byte(value), Rev: s.revision, Removed: removed}
	s.log = append(s.log, i)
	s.items[key] = i
	if removed {
		delete(s.items, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path == "/kv-watch" {
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.wait(q.Get("after"), time.Duration(wait)*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var list []storeItem
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	if r.URL.Path == "/kv-watch" {
		for _, i := range s.log {
			if i.Rev > after {
				list = append(list, i)
			}
		}
	} else {
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) {
				list = append(list, i)
			}
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "events": list, "store-revision": s.revision})
}

// wait returns when the store has changes after a revision, at the latest after d.
func (s *fakeStore) wait(text string, d time.Duration) {
	after, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	changed, upToDate := s.changed, s.revision <= after && !s.unavailable
	s.mu.Unlock()
	if !upToDate {
		return
	}
	select {
	case <-changed:
	case <-time.After(d):
	}
}

// fakeBackend simulates a backend server of one service.
type fakeBackend struct {
	id, service, centre, address string
	store                        *fakeStore
	listener                     net.Listener
	server                       *http.Server
	mu                           sync.Mutex
	// ran counts how often each request ran, by request id.
	ran map[string]int
	// seen describes the received requests.
	seen []string
	// fault is the kind of failure with which requests are answered, or "".
	fault string
	// cold is the remaining warm-up that health checks report, or zero if they report none.
	cold time.Duration
	// hold, if not nil, delays responses until it is closed.
	hold chan struct{}
}

func startBackend(t testing.TB, s *fakeStore, id, service, centre, address string) *fakeBackend {
	b := &fakeBackend{id: id, service: service, centre: centre, address: address, store: s, ran: make(map[string]int)}
	b.start(t)
	t.Cleanup(b.stop)
	b.publish("ready")
	return b
}

func (b *fakeBackend) start(t testing.TB) {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	b.listener = l
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(l) }()
}

func (b *fakeBackend) stop() { _ = b.server.Close() }

func (b *fakeBackend) publish(state string) {
	b.store.put("servers/"+b.id, fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":%q,"zone":%q,"slots":2},"status":{"state":%q}}`,
		b.address, b.service, b.centre, state), false)
}

// ServeHTTP implements http.Handler.
func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	if b.fault == "early" && r.URL.Path != "/health" {
		b.seen = append(b.seen, "begins "+r.Method+" "+r.RequestURI)
	}
	b.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.fault == "mute" {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Instance-Id", b.id)
		if b.cold > 0 {
			w.Header().Set("X-Warmup-Ms", strconv.FormatInt(b.cold.Milliseconds(), 10))
		}
		return
	}
	if r.Header.Get("X-Expect-Instance") != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	fault, hold := b.fault, b.hold
	b.mu.Unlock()
	if fault == "copy" || fault == "barecopy" {
		b.refuseTwice(w, r, fault == "barecopy")
		return
	}
	b.mu.Lock()
	if fault != "shed" {
		b.ran[id]++
	}
	b.seen = append(b.seen, fmt.Sprintf("%s %s host=%s customer=%s caller=%s key=%t body=%d", r.Method, r.RequestURI, r.Host,
		r.Header.Get("X-Tenant"), r.Header.Get("X-Caller-Service"), r.Header.Get("Authorization") != "", len(body)))
	if r.Header.Get("X-Private") != "" {
		b.seen = append(b.seen, "with X-Private")
	}
	b.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/poison") {
		b.stop()
		return
	}
	if hold != nil {
		<-hold
	}
	work := workOf(r.URL.Path)
	if fault == "slow" {
		work = 500 * time.Millisecond
	}
	if work > 0 {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			b.mu.Lock()
			b.seen = append(b.seen, "cancelled "+r.RequestURI)
			b.mu.Unlock()
			return
		}
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Upstream-Seal", "seal")
	if strings.HasPrefix(r.URL.Path, "/parent/") {
		_, _ = io.WriteString(w, "from "+b.id+" after "+b.call("/open/x", id+".1"))
		return
	}
	if strings.HasPrefix(r.URL.Path, "/nested/") {
		_, _ = io.WriteString(w, "from "+b.id+" after "+b.call("/open/x", id+"-call"))
		return
	}
	switch fault {
	case "shed":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
	case "reset":
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	case "lists":
		b.listFields(w)
	case "unsized":
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "from "+b.id)
	case "headcut":
		b.cutHead(w, r)
	case "status", "skipped", "version", "reason", "name", "framing", "interim", "trailer":
		b.sendMalformed(w, r, malformedResponses[fault])
	case "cut":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, "from "+b.id)
	}
}

// workOf returns the time that a request takes, which is the second segment of the paths
// /held/, /kept/, /long/, /nested/ and /parent/.
func workOf(path string) time.Duration {
	segments := strings.Split(path, "/")
	if len(segments) < 3 || !slices.Contains([]string{"held", "kept", "long", "nested", "parent"}, segments[1]) {
		return 0
	}
	d, _ := time.ParseDuration(segments[2])
	return d
}

// call makes a call of a running request through the backend server's own daemon, and
// returns the status of the response.
func (b *fakeBackend) call(path, id string) string {
	host, _, _ := net.SplitHostPort(b.address)
	r, err := http.NewRequest(http.MethodGet, "http://"+net.JoinHostPort(host, strconv.Itoa(portOutbound))+path, nil)
	if err != nil {
		return err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "300")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return "no answer"
	}
	_ = resp.Body.Close()
	return strconv.Itoa(resp.StatusCode)
}

func (b *fakeBackend) set(fault string, hold chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault, b.hold = fault, hold
}

// resume lets the backend server answer what it has held.
func (b *fakeBackend) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hold != nil {
		close(b.hold)
	}
	b.hold = nil
}

// drainSeen returns the requests received since the last call.
func (b *fakeBackend) drainSeen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := b.seen
	b.seen = nil
	return seen
}

// hasSeen reports whether a request for a path was received since the last call of drainSeen.
func (b *fakeBackend) hasSeen(path string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.seen, func(line string) bool {
		_, rest, _ := strings.Cut(line, " ")
		return strings.HasPrefix(rest, path+" ")
	})
}

// hasCancelled reports whether the work on a request for a path was cancelled since the last call
// of drainSeen.
func (b *fakeBackend) hasCancelled(path string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.seen, "cancelled "+path)
}

// runs returns how often each request has run, by its id.
func (b *fakeBackend) runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.ran)
}
