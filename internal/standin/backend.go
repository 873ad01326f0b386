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

// Header fields of requests from the load tool and of their responses.
const (
	// RequestIDHeader identifies a request. All attempts of a request share it.
	RequestIDHeader = "Load-Id"
	// AttemptHeader identifies an attempt of a request.
	AttemptHeader = "Load-Send"
	// ServiceTimeHeader sets how long the request occupies a slot.
	ServiceTimeHeader = "Load-Work"
	// CrashHeader makes the request crash the backend server.
	CrashHeader = "Load-Crash"
	// NestedPathsHeader lists paths separated by commas. The request calls the first
	// path through the local daemon and passes on the rest.
	NestedPathsHeader = "Load-Next"
	// BodyDigestHeader contains the SHA-256 digest of the request body. It is set on
	// the response.
	BodyDigestHeader = "Load-Echo"
	// ListedHeader is the Connection field of the response. The response has the fields that
	// it lists, with the value "listed".
	ListedHeader = "Load-Listed"
)

const (
	parentHeader   = "Lycheehead-Request"
	customerHeader = "Lycheehead-Customer"
)

// BackendModel describes the behaviour of a stand-in backend server.
type BackendModel struct {
	slots, connections                   int
	serviceTime, coldStart, restartDelay time.Duration
	// crashFactor is the ratio of running requests to capacity above which the
	// backend server crashes.
	crashFactor float64
	localDaemon string
}

// NewBackendModel returns a model of a backend server that runs up to slots requests at
// once, accepts up to connections connections and takes serviceTime for each request.
func NewBackendModel(slots, connections int, serviceTime time.Duration) BackendModel {
	return BackendModel{slots: slots, connections: connections, serviceTime: serviceTime, crashFactor: 3}
}

// WithColdStart returns the model with a cold start of duration d. During that time
// after each start, the capacity grows linearly from a quarter of the slots to all of
// them.
func (m BackendModel) WithColdStart(d time.Duration) BackendModel {
	m.coldStart = d
	return m
}

// WithRestartDelay returns the model with the time between a crash and the next start.
func (m BackendModel) WithRestartDelay(d time.Duration) BackendModel {
	m.restartDelay = d
	return m
}

// WithLocalDaemon returns the model with the address of the daemon to which the backend
// server sends its own calls.
func (m BackendModel) WithLocalDaemon(address string) BackendModel {
	m.localDaemon = address
	return m
}

// runRecord counts the runs of an attempt.
type runRecord struct {
	times    uint32
	customer string
}

// attempt identifies an attempt of a request.
type attempt struct {
	requestID, number string
}

// Backend is a stand-in for a backend server.
type Backend struct {
	model BackendModel

	mu       sync.Mutex
	address  string
	server   *http.Server
	started  time.Time
	instance uint64
	// running counts the requests that the current instance runs.
	running    int
	maxRunning int
	shedCount  uint64
	crashes    uint64
	draining   bool
	runs       map[attempt]runRecord
	// received holds the targets and header fields of all requests.
	received map[string]bool
	stopped  bool
}

// NewBackend returns a backend server that is not started.
func NewBackend(m BackendModel) *Backend {
	return &Backend{model: m, runs: make(map[attempt]runRecord), received: make(map[string]bool)}
}

// Start starts a new instance of the backend server that listens on an address. It
// returns the address with the port that was assigned.
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
	b.draining = false
	b.server = &http.Server{Handler: b.instanceHandler(b.instance), ReadHeaderTimeout: time.Minute}
	server := b.server
	go func() {
		_ = server.Serve(&limitedListener{Listener: l, permits: make(chan struct{}, b.model.connections)})
	}()
	return b.address, nil
}

// Stop stops the backend server. It does not restart.
func (b *Backend) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	_ = b.server.Close()
}

// Crash closes all connections and starts a new instance after the restart delay of
// the model.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.crashes++
	server, address := b.server, b.address
	b.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(b.model.restartDelay, func() { b.restart(address) })
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

// Record returns the requests that all instances of the backend server have run, and the
// counters of the backend server.
func (b *Backend) Record() *schema.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := schema.Record_builder{
		Crashes:     proto.Uint64(b.crashes),
		Shed:        proto.Uint64(b.shedCount),
		MostRunning: proto.Uint64(uint64(b.maxRunning)),
	}.Build()
	for a, run := range b.runs {
		r.SetRan(append(r.GetRan(), schema.Ran_builder{
			Id:       proto.String(a.requestID),
			Send:     proto.String(a.number),
			Times:    proto.Uint32(run.times),
			Customer: proto.String(run.customer),
		}.Build()))
	}
	return r
}

// HasReceived reports whether the target or a header field of any request contained
// the text. Header fields that identify requests are not searched.
func (b *Backend) HasReceived(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.received {
		if strings.Contains(s, text) {
			return true
		}
	}
	return false
}

// instanceHandler returns the handler of one instance. Requests of an earlier instance
// do not change the number of running requests.
func (b *Backend) instanceHandler(instance uint64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rest, ok := strings.CutPrefix(r.URL.Path, "/admin/"); ok {
			b.serveAdmin(w, r, rest)
			return
		}
		b.recordReceived(r)
		w.Header().Set("Backend-Instance", strconv.FormatUint(instance, 10))
		if r.Header.Get(CrashHeader) != "" {
			b.recordRun(r)
			b.Crash()
			panic(http.ErrAbortHandler)
		}
		switch b.admit() {
		case rejected:
			w.Header().Set("Backend-Shed", "1")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "shed", http.StatusServiceUnavailable)
			return
		case overloaded:
			b.Crash()
			panic(http.ErrAbortHandler)
		}
		defer b.release(instance)
		b.run(w, r)
	})
}

// recordReceived records a request for HasReceived, which tests use to look for leaked
// keys.
func (b *Backend) recordReceived(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received[r.RequestURI] = true
	for name, values := range r.Header {
		if name == RequestIDHeader || name == AttemptHeader || name == parentHeader || name == "Idempotency-Key" {
			continue
		}
		for _, v := range values {
			b.received[name+": "+v] = true
		}
	}
}

func (b *Backend) recordRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := attempt{requestID: r.Header.Get(RequestIDHeader), number: r.Header.Get(AttemptHeader)}
	run := b.runs[a]
	run.times++
	run.customer = r.Header.Get(customerHeader)
	b.runs[a] = run
}

// admission is the decision whether a request runs.
type admission uint8

const (
	admitted admission = iota
	rejected
	overloaded
)

// admit takes a slot for a request if there is capacity for it.
func (b *Backend) admit() admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := b.capacity()
	switch {
	case b.draining:
		return rejected
	case float64(b.running+1) > capacity*b.model.crashFactor:
		return overloaded
	case float64(b.running+1) > capacity:
		b.shedCount++
		// The model ignores the time that rejecting a request takes, so a shed
		// request does not increase b.running.
		return rejected
	}
	b.running++
	b.maxRunning = max(b.maxRunning, b.running)
	return admitted
}

// capacity returns how many requests the backend server can run at once at present. The
// caller holds b.mu.
func (b *Backend) capacity() float64 {
	slots := float64(b.model.slots)
	if b.model.coldStart == 0 {
		return slots
	}
	progress := min(1, time.Since(b.started).Seconds()/b.model.coldStart.Seconds())
	return max(1, slots*(0.25+0.75*progress))
}

func (b *Backend) release(instance uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance == instance {
		b.running--
	}
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		// A request with a truncated body does not run.
		panic(http.ErrAbortHandler)
	}
	// The request is recorded as run even if it does not complete.
	b.recordRun(r)
	if !sleep(r.Context(), b.serviceTime(r)) {
		panic(http.ErrAbortHandler)
	}
	if paths := r.Header.Get(NestedPathsHeader); paths != "" && !b.callNested(w, r, paths) {
		return
	}
	w.Header().Set(BodyDigestHeader, hex.EncodeToString(hash.Sum(nil)))
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	if names := r.Header.Get(ListedHeader); names != "" {
		w.Header().Set("Connection", names)
		for name := range strings.SplitSeq(names, ",") {
			w.Header().Set(name, "listed")
		}
	}
	_, _ = io.WriteString(w, "ran "+r.Header.Get(RequestIDHeader)+" for "+r.Header.Get(customerHeader)+"\n")
}

func (b *Backend) serviceTime(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(ServiceTimeHeader)); err == nil {
		return d
	}
	return b.model.serviceTime
}

// sleep waits for d. It returns false if the context is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callNested calls the first of the paths through the local daemon. If the call fails,
// callNested writes the error response and returns false.
func (b *Backend) callNested(w http.ResponseWriter, r *http.Request, paths string) bool {
	path, rest, _ := strings.Cut(paths, ",")
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+b.model.localDaemon+path, nil)
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

// serveAdmin serves the endpoints for tests and the load tool.
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
		b.draining = true
		b.mu.Unlock()
	case "health":
		// The health endpoint reports ok regardless of the load.
		_, _ = io.WriteString(w, "ok\n")
	default:
		http.NotFound(w, r)
	}
}

// limitedListener bounds the number of open connections.
type limitedListener struct {
	net.Listener
	permits chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.permits <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.permits
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.permits })}, nil
}

// limitedConn returns its permit to the listener when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
