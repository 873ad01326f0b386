package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Header fields of the load tool.
const (
	// RequestIDHeader names a request over all its sendings.
	RequestIDHeader = "Load-Id"
	// AttemptHeader names one sending.
	AttemptHeader = "Load-Send"
	// ServiceTimeHeader has how long the request keeps a slot.
	ServiceTimeHeader = "Load-Work"
	// CrashHeader makes the request crash the backend server.
	CrashHeader = "Load-Crash"
	// NestedPathsHeader has a path that the request calls in turn, through the local
	// daemon.
	NestedPathsHeader = "Load-Next"
	// BodyDigestHeader has the digest of the request's body, in the answer.
	BodyDigestHeader = "Load-Echo"
)

const (
	parentHeader   = "Lycheehead-Request"
	customerHeader = "Lycheehead-Customer"
)

// BackendModel says how a stand-in backend server behaves.
type BackendModel struct {
	slots, connections int
	work, cold, down   time.Duration
	fall               float64
	local              string
}

// NewBackendModel returns a backend server with slots and connections whose requests
// take work each.
func NewBackendModel(slots, connections int, work time.Duration) BackendModel {
	return BackendModel{slots: slots, connections: connections, work: work, fall: 3}
}

// WithColdStart returns the model with a cold start: for that long after a start it
// bears fewer requests, growing from a quarter of its slots.
func (m BackendModel) WithColdStart(d time.Duration) BackendModel {
	m.cold = d
	return m
}

// WithRestartDelay returns the model with the time that a crash takes.
func (m BackendModel) WithRestartDelay(d time.Duration) BackendModel {
	m.down = d
	return m
}

// WithLocalDaemon returns the model with the address of the daemon that takes the
// backend server's own calls.
func (m BackendModel) WithLocalDaemon(address string) BackendModel {
	m.local = address
	return m
}

// entry is a request that has run.
type entry struct {
	times    uint32
	customer string
}

// sending names one sending of a request.
type sending struct {
	id, send string
}

// Backend is the stand-in for a backend server. Make one with NewBackend.
type Backend struct {
	model BackendModel

	mu       sync.Mutex
	address  string
	server   *http.Server
	started  time.Time
	instance uint64
	running  int
	most     int
	shed     uint64
	crashes  uint64
	drained  bool
	ran      map[sending]entry
	seen     map[string]bool
	stopped  bool
}

// NewBackend returns a backend server that has not started.
func NewBackend(m BackendModel) *Backend {
	return &Backend{model: m, ran: make(map[sending]entry), seen: make(map[string]bool)}
}

// Start starts the backend server, or starts it again, at an address.
func (b *Backend) Start(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Join(errListen, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = l.Addr().String()
	b.started = time.Now()
	b.instance++
	b.running = 0
	b.drained = false
	b.server = &http.Server{Handler: b.generation(b.instance), ReadHeaderTimeout: time.Minute}
	server := b.server
	go func() { _ = server.Serve(&limited{Listener: l, slots: make(chan struct{}, b.model.connections)}) }()
	return b.address, nil
}

// Stop ends the backend server for good.
func (b *Backend) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	_ = b.server.Close()
}

// Crash breaks all connections; the backend server starts again, cold, after
// the model's down time.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.crashes++
	server, address := b.server, b.address
	b.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(b.model.down, func() { b.restart(address) })
}

func (b *Backend) restart(address string) {
	b.mu.Lock()
	stopped := b.stopped
	b.mu.Unlock()
	if stopped {
		return
	}
	if _, err := b.Start(address); err != nil {
		time.AfterFunc(100*time.Millisecond, func() { b.restart(address) })
	}
}

// Record returns what the backend server has run, over all its starts.
func (b *Backend) Record() *schema.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := schema.Record_builder{
		Crashes:     proto.Uint64(b.crashes),
		Shed:        proto.Uint64(b.shed),
		MostRunning: proto.Uint64(uint64(b.most)),
	}.Build()
	for s, e := range b.ran {
		r.SetRan(append(r.GetRan(), schema.Ran_builder{
			Id:       proto.String(s.id),
			Send:     proto.String(s.send),
			Times:    proto.Uint32(e.times),
			Customer: proto.String(e.customer),
		}.Build()))
	}
	return r
}

// HasReceived says whether any header or target that came held the text.
func (b *Backend) HasReceived(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.seen {
		if strings.Contains(s, text) {
			return true
		}
	}
	return false
}

// generation is the handler of one start of the backend server: requests of an
// earlier start change nothing any more.
func (b *Backend) generation(instance uint64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rest, ok := strings.CutPrefix(r.URL.Path, "/admin/"); ok {
			b.serveAdmin(w, r, rest)
			return
		}
		b.note(r)
		w.Header().Set("Backend-Instance", strconv.FormatUint(instance, 10))
		if r.Header.Get(CrashHeader) != "" {
			b.count(r)
			b.Crash()
			panic(http.ErrAbortHandler)
		}
		switch b.enter() {
		case full:
			w.Header().Set("Backend-Shed", "1")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "shed", http.StatusServiceUnavailable)
			return
		case fallen:
			b.Crash()
			panic(http.ErrAbortHandler)
		}
		defer b.leave(instance)
		b.work(w, r)
	})
}

// note keeps what came, to be searched for keys.
func (b *Backend) note(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[r.RequestURI] = true
	for name, values := range r.Header {
		if name == RequestIDHeader || name == AttemptHeader || name == parentHeader || name == "Idempotency-Key" {
			continue
		}
		for _, v := range values {
			b.seen[name+": "+v] = true
		}
	}
}

func (b *Backend) count(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := sending{id: r.Header.Get(RequestIDHeader), send: r.Header.Get(AttemptHeader)}
	e := b.ran[s]
	e.times++
	e.customer = r.Header.Get(customerHeader)
	b.ran[s] = e
}

// entrance is what becomes of a request that comes.
type entrance uint8

const (
	welcome entrance = iota
	full
	fallen
)

// enter takes a slot if the backend server bears one more request.
func (b *Backend) enter() entrance {
	b.mu.Lock()
	defer b.mu.Unlock()
	bears := b.bears()
	switch {
	case b.drained:
		return full
	case float64(b.running+1) > bears*b.model.fall:
		return fallen
	case float64(b.running+1) > bears:
		b.shed++
		// A request that is shed still costs while it is turned away.
		return full
	}
	b.running++
	b.most = max(b.most, b.running)
	return welcome
}

// bears returns how many requests the backend server bears now.
func (b *Backend) bears() float64 {
	slots := float64(b.model.slots)
	if b.model.cold == 0 {
		return slots
	}
	warm := min(1, time.Since(b.started).Seconds()/b.model.cold.Seconds())
	return max(1, slots*(0.25+0.75*warm))
}

func (b *Backend) leave(instance uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance == instance {
		b.running--
	}
}

// work runs a request.
func (b *Backend) work(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		// The body was cut: nothing is run on half an upload.
		panic(http.ErrAbortHandler)
	}
	// A request counts as run from here on, whether it comes to its end or not.
	b.count(r)
	if !pause(r.Context(), b.duration(r)) {
		panic(http.ErrAbortHandler)
	}
	if next := r.Header.Get(NestedPathsHeader); next != "" && !b.call(w, r, next) {
		return
	}
	w.Header().Set(BodyDigestHeader, hex.EncodeToString(hash.Sum(nil)))
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	_, _ = io.WriteString(w, "ran "+r.Header.Get(RequestIDHeader)+" for "+r.Header.Get(customerHeader)+"\n")
}

func (b *Backend) duration(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(ServiceTimeHeader)); err == nil {
		return d
	}
	return b.model.work
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call calls the next of the paths through the local daemon.
func (b *Backend) call(w http.ResponseWriter, r *http.Request, next string) bool {
	path, rest, _ := strings.Cut(next, ",")
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+b.model.local+path, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	req.Header.Set(parentHeader, r.Header.Get(parentHeader))
	req.Header.Set(RequestIDHeader, r.Header.Get(RequestIDHeader)+path)
	if rest != "" {
		req.Header.Set(NestedPathsHeader, rest)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		http.Error(w, "next: "+resp.Status, http.StatusBadGateway)
		return false
	}
	return true
}

// serveAdmin serves the tests' side.
func (b *Backend) serveAdmin(w http.ResponseWriter, r *http.Request, path string) {
	switch path {
	case "record":
		data, err := protojson.Marshal(b.Record())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	case "seen":
		_, _ = io.WriteString(w, strconv.FormatBool(b.HasReceived(r.URL.Query().Get("text"))))
	case "crash":
		b.Crash()
	case "drain":
		b.mu.Lock()
		b.drained = true
		b.mu.Unlock()
	case "health":
		// Health lies: it never tells of load.
		_, _ = io.WriteString(w, "ok\n")
	default:
		http.NotFound(w, r)
	}
}

// limited accepts a bounded number of connections at a time.
type limited struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &counted{Conn: c, done: sync.OnceFunc(func() { <-l.slots })}, nil
}

type counted struct {
	net.Conn
	done func()
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.done()
	return c.Conn.Close()
}
