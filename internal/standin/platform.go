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

// Mode is how the platform answers.
type Mode string

// The modes.
const (
	// ModeOK answers as published.
	ModeOK Mode = "ok"
	// ModeUnreachable breaks every connection.
	ModeUnreachable Mode = "away"
	// ModeSlow answers late.
	ModeSlow Mode = "slow"
	// ModeStale answers with what was published when it became stale.
	ModeStale Mode = "stale"
	// ModeRollback answers with what it answered when it was last stale.
	ModeRollback Mode = "older"
)

const (
	slowBy    = 1500 * time.Millisecond
	valueMost = 1 << 20
)

type value struct {
	data     []byte
	revision uint64
}

// Platform is the stand-in for the configuration service. Make one with
// NewPlatform.
type Platform struct {
	calls int
	lag   time.Duration

	mu       sync.Mutex
	mode     Mode
	values   map[string]value
	frozen   map[string]value
	revision uint64
	changed  chan struct{}
	second   int64
	count    int
	total    int64
	refused  int64
	most     int
	// instances is the list's text and revision.
	instances value
}

// NewPlatform returns an empty platform that answers calls a second at most; 0
// is without a bound. The instance list lags behind by lag.
func NewPlatform(calls int, lag time.Duration) *Platform {
	return &Platform{
		calls:   calls,
		lag:     lag,
		mode:    ModeOK,
		values:  make(map[string]value),
		changed: make(chan struct{}),
	}
}

// SetMode changes how the platform answers.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == ModeStale && p.mode != ModeStale {
		p.frozen = make(map[string]value, len(p.values))
		for k, v := range p.values {
			p.frozen[k] = v
		}
	}
	p.mode = m
	p.wake()
}

// Put publishes a value.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = value{data: data, revision: p.revision}
	p.wake()
}

// PutInstances publishes the instance list; it shows after the lag.
func (p *Platform) PutInstances(list *schema.Instances) {
	list = proto.CloneOf(list)
	time.AfterFunc(p.lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.revision++
		list.SetRevision(p.revision)
		data, err := protojson.Marshal(list)
		if err != nil {
			panic(err)
		}
		p.instances = value{data: data, revision: p.revision}
		p.wake()
	})
}

// CallStats returns the calls so far, those refused as too many, and the most in
// one second.
func (p *Platform) CallStats() (total, refused int64, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total, p.refused, p.most
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rest, ok := strings.CutPrefix(r.URL.Path, "/admin/"); ok {
		p.admin(w, r, rest)
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
		hangUp(w)
		return
	case ModeSlow:
		time.Sleep(slowBy)
	}
	p.read(w, r)
}

func (p *Platform) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// admit counts a call.
func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.second {
		p.second = now
		p.count = 0
	}
	p.total++
	p.count++
	p.most = max(p.most, p.count)
	if p.calls > 0 && p.count > p.calls {
		p.refused++
		return false
	}
	return true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(time.Duration(wait) * time.Second)
	defer timeout.Stop()
	for {
		v, ok, changed := p.look(r.URL.Path)
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
				hangUp(w)
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

// look returns what a path has now, and a channel that is closed at the next
// change.
func (p *Platform) look(path string) (value, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path == "/v1/instances" {
		return p.instances, p.instances.revision > 0, p.changed
	}
	values := p.values
	if p.mode == ModeStale || p.mode == ModeRollback {
		values = p.frozen
	}
	v, ok := values[strings.TrimPrefix(path, "/v1/values/")]
	return v, ok, p.changed
}

// admin serves the operators' and the tests' side.
func (p *Platform) admin(w http.ResponseWriter, r *http.Request, path string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64*valueMost))
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
		if len(data) > valueMost {
			http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
			return
		}
		p.Put(strings.TrimPrefix(path, "values/"), data)
	case path == "calls":
		total, refused, most := p.CallStats()
		_, _ = io.WriteString(w, strconv.FormatInt(total, 10)+" "+strconv.FormatInt(refused, 10)+" "+strconv.Itoa(most)+"\n")
	default:
		http.NotFound(w, r)
	}
}

// hangUp breaks the connection of a request.
func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// Serve serves a handler at an address until the returned function is called.
// It returns the address, for those who asked for any port.
func Serve(address string, h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, errors.Join(errListen, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}
