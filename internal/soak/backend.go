package soak

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Header fields of the platform that backend servers and callers use.
const (
	fieldID       = "X-Request-Id"
	fieldSeal     = "X-Upstream-Seal"
	fieldInstance = "X-Instance-Id"
	fieldExpected = "X-Expect-Instance"
	fieldCustomer = "X-Tenant"
	fieldService  = "X-Caller-Service"
	fieldNotRun   = "X-Not-Executed"
	fieldDeadline = "X-Deadline-Ms"
)

const (
	healthPath = "/health"
	// backendSlots is how many requests a backend server runs at once, and how many wait.
	backendSlots = 9
	// largeBody is the least size of a large response and of a large upload.
	largeBody = 1 << 20
)

// backend is a stand-in for a backend server in one of its incarnations.
type backend struct {
	id       string
	instance int
	born     time.Time
	journal  *journal
	slots    chan struct{}
	waiting  chan struct{}
	server   *http.Server
	// announced is when the platform had acknowledged that the backend server leaves.
	announced atomic.Int64
	// call makes the call that some requests need, and reports whether it has been served.
	call func(id string, run int) bool
}

// startBackend starts a backend server that listens on an address.
func startBackend(id string, instance int, address string, j *journal, call func(id string, run int) bool) (*backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for backend server: %w", err)
	}
	b := &backend{
		id: id, instance: instance, born: time.Now(), journal: j, call: call,
		slots: make(chan struct{}, backendSlots), waiting: make(chan struct{}, backendSlots),
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

// close ends the backend server and its connections.
func (b *backend) close() { _ = b.server.Close() }

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set(fieldInstance, b.id)
		_, _ = io.WriteString(w, "healthy\n")
		return
	}
	id := r.Header.Get(fieldID)
	b.journal.received(id)
	run := execution{instance: b.instance, arrived: b.journal.now(), announced: time.Duration(b.announced.Load())}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(fieldID, id)
	if expected := r.Header.Get(fieldExpected); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.waiting <- struct{}{}:
	default:
		w.Header().Set(fieldNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.slots <- struct{}{}
	<-b.waiting
	defer func() { <-b.slots }()
	if r.Context().Err() != nil {
		return
	}
	n := b.journal.ran(run, id, r.Method, r.RequestURI, strings.Join(r.Header[fieldCustomer], ","), strings.Join(r.Header[fieldService], ","), body)
	defer b.journal.finished(id, n)
	select {
	case <-time.After(workOf(id)):
	case <-r.Context().Done():
		return
	}
	if !b.call(id, n) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := answerOf(b.id, id, strings.Contains(r.URL.Path, largePath))
	w.Header().Set(fieldSeal, seal(b.id, id, answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	// The daemon has left if this fails.
	_, _ = w.Write(answer)
}

// workOf returns how long a backend server works on a request.
func workOf(id string) time.Duration {
	sum := crc32.ChecksumIEEE([]byte(id))
	if sum%20 == 0 {
		return 700 * time.Millisecond
	}
	return time.Duration(20+sum/20%120) * time.Millisecond
}

// answerOf returns the body of a response.
func answerOf(instance, id string, large bool) []byte {
	line := []byte("answer of " + instance + " to " + id + "\n")
	if large {
		return bytes.Repeat(line, largeBody/len(line)+1)
	}
	return line
}

// seal returns a text that only the backend server gives to a response.
func seal(instance, id string, answer []byte) string {
	return fmt.Sprintf("%s.%s.%08x", instance, id, crc32.ChecksumIEEE(answer))
}
