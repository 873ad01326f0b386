package standin

import (
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

	"github.com/lycheehead/lycheehead/internal/platformhttp"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// Mode determines how the platform responds to reads.
type Mode string

// Modes of the platform.
const (
	// ModeOK returns the published values.
	ModeOK Mode = "ok"
	// ModeUnreachable closes every connection without a response.
	ModeUnreachable Mode = "away"
	// ModeSlow delays every response by slowDelay.
	ModeSlow Mode = "slow"
	// ModeStale returns the values that were published when the mode was set.
	ModeStale Mode = "stale"
	// ModeRollback returns the values that ModeStale returned last.
	ModeRollback Mode = "older"
)

const (
	slowDelay     = 1500 * time.Millisecond
	maxValueBytes = 1 << 20
)

type value struct {
	data     []byte
	revision uint64
}

// Platform is a stand-in for the configuration service.
type Platform struct {
	// maxCallRate is the limit on calls per second, or 0 for no limit.
	maxCallRate int
	instanceLag time.Duration

	mu          sync.Mutex
	mode        Mode
	values      map[string]value
	staleValues map[string]value
	revision    uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// currentSecond is the Unix time of the second in which callsInSecond calls were
	// received.
	currentSecond    int64
	callsInSecond    int
	maxCallsInSecond int
	totalCalls       int64
	refusedCalls     int64
	// instances is the instance list in JSON.
	instances value
}

// NewPlatform returns an empty platform that answers at most maxCallRate calls per
// second, or any number if it is 0. Changes of the instance list become visible after
// instanceLag.
func NewPlatform(maxCallRate int, instanceLag time.Duration) *Platform {
	return &Platform{
		maxCallRate: maxCallRate,
		instanceLag: instanceLag,
		mode:        ModeOK,
		values:      make(map[string]value),
		changed:     make(chan struct{}),
	}
}

// SetMode sets the mode and wakes pending reads.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == ModeStale && p.mode != ModeStale {
		p.staleValues = make(map[string]value, len(p.values))
		for k, v := range p.values {
			p.staleValues[k] = v
		}
	}
	p.mode = m
	p.wakePendingReads()
}

// Put publishes a value under a new revision.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = value{data: data, revision: p.revision}
	p.wakePendingReads()
}

// PutInstances publishes an instance list, which becomes visible after the lag.
func (p *Platform) PutInstances(list *schema.Instances) {
	list = proto.CloneOf(list)
	time.AfterFunc(p.instanceLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.revision++
		list.SetRevision(p.revision)
		data, err := protojson.Marshal(list)
		if err != nil {
			panic(err)
		}
		p.instances = value{data: data, revision: p.revision}
		p.wakePendingReads()
	})
}

// CallStats returns the number of calls, the number of calls refused by the rate limit,
// and the largest number of calls in one second.
func (p *Platform) CallStats() (total, refused int64, maxInSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalCalls, p.refusedCalls, p.maxCallsInSecond
}

// wakePendingReads wakes all pending reads. The caller holds p.mu.
func (p *Platform) wakePendingReads() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rest, ok := strings.CutPrefix(r.URL.Path, "/admin/"); ok {
		p.serveAdmin(w, r, rest)
		return
	}
	if r.Method != http.MethodGet {
		http.Error(w, "read only", http.StatusMethodNotAllowed)
		return
	}
	if !p.admit() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	switch p.currentMode() {
	case ModeUnreachable:
		closeConnection(w)
		return
	case ModeSlow:
		time.Sleep(slowDelay)
	}
	p.serveRead(w, r)
}

func (p *Platform) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// admit counts a call and reports whether it is within the rate limit.
func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.currentSecond {
		p.currentSecond = now
		p.callsInSecond = 0
	}
	p.totalCalls++
	p.callsInSecond++
	p.maxCallsInSecond = max(p.maxCallsInSecond, p.callsInSecond)
	if p.maxCallRate > 0 && p.callsInSecond > p.maxCallRate {
		p.refusedCalls++
		return false
	}
	return true
}

// serveRead responds with the value of a path. With the query parameter wait, it first
// waits up to that many seconds for a revision later than the query parameter after.
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(time.Duration(wait) * time.Second)
	defer timeout.Stop()
	for {
		v, ok, changed := p.lookup(r.URL.Path)
		if ok && (wait == 0 || v.revision > after) {
			w.Header().Set(platformhttp.RevisionHeader, strconv.FormatUint(v.revision, 10))
			_, _ = w.Write(v.data)
			return
		}
		if wait == 0 {
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
			if p.currentMode() == ModeUnreachable {
				closeConnection(w)
				return
			}
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lookup returns the current value of a path, whether there is one, and a channel that is
// closed at the next change.
func (p *Platform) lookup(path string) (value, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path == "/v1/instances" {
		return p.instances, p.instances.revision > 0, p.changed
	}
	values := p.values
	if p.mode == ModeStale || p.mode == ModeRollback {
		values = p.staleValues
	}
	v, ok := values[strings.TrimPrefix(path, "/v1/values/")]
	return v, ok, p.changed
}

// serveAdmin serves the endpoints for operators and tests.
func (p *Platform) serveAdmin(w http.ResponseWriter, r *http.Request, path string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64*maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case path == "mode":
		p.SetMode(Mode(r.URL.Query().Get("mode")))
	case path == "instances":
		list := &schema.Instances{}
		if err := protojson.Unmarshal(data, list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.PutInstances(list)
	case strings.HasPrefix(path, "values/"):
		if len(data) > maxValueBytes {
			http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
			return
		}
		p.Put(strings.TrimPrefix(path, "values/"), data)
	case path == "calls":
		total, refused, maxInSecond := p.CallStats()
		_, _ = io.WriteString(w, strconv.FormatInt(total, 10)+" "+strconv.FormatInt(refused, 10)+" "+strconv.Itoa(maxInSecond)+"\n")
	default:
		http.NotFound(w, r)
	}
}

// closeConnection closes the connection of a request without a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// Serve serves a handler on an address until the returned function is called. It returns
// the address with the port that was assigned.
func Serve(address string, h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, errors.Join(errListen, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}
