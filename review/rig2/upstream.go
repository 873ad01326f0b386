package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// upstreamEvent is a line that an upstream prints: what became of a request that reached it.
type upstreamEvent struct {
	At       int64  `json:"at"`
	Instance string `json:"instance"`
	What     string `json:"what"`
	ID       string `json:"id,omitempty"`
	Path     string `json:"path,omitempty"`
	Tenant   string `json:"tenant,omitempty"`
}

// upstream is a stand-in for an application upstream. The path of a request says what it does
// there: /.../takes/MS/... occupies a slot for MS milliseconds, /.../crash/... ends the process.
type upstream struct {
	id    string
	slots chan struct{}
	mu    guard
	wait  int
	queue int
}

func runUpstream(args []string) {
	f := flag.NewFlagSet("upstream", flag.ExitOnError)
	address := f.String("address", "", "host and port")
	id := f.String("id", "", "instance id")
	slots := f.Int("slots", 6, "requests that run at the same time")
	_ = f.Parse(args)
	u := &upstream{mu: newGuard(), id: *id, slots: make(chan struct{}, *slots), queue: 24}
	server := &http.Server{Addr: *address, Handler: u, IdleTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (u *upstream) log(what string, r *http.Request) {
	line, _ := json.Marshal(upstreamEvent{
		At: time.Now().UnixNano(), Instance: u.id, What: what, ID: r.Header.Get("X-Request-Id"), Path: r.URL.Path,
		Tenant: r.Header.Get("X-Tenant"),
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		h.Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		u.log("misdirected", r)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", u.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	if !u.acquire(ctx) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		u.log("shed", r)
		return
	}
	defer func() { <-u.slots }()
	u.log("run", r)
	h.Set("X-Upstream-Seal", u.id+"."+r.Header.Get("X-Request-Id"))
	if strings.Contains(r.URL.Path, "/crash/") {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	work := 20 * time.Millisecond
	if _, text, ok := strings.Cut(r.URL.Path, "/takes/"); ok {
		text, _, _ = strings.Cut(text, "/")
		if ms, err := strconv.Atoi(text); err == nil {
			work = time.Duration(ms) * time.Millisecond
		}
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		u.log("stopped", r)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	u.log("end", r)
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes\n", u.id, r.Header.Get("X-Request-Id"), len(body))
}

// acquire waits for a slot and reports whether the request has one.
func (u *upstream) acquire(ctx context.Context) bool {
	u.mu.Lock()
	full := u.wait >= u.queue
	u.wait++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.wait--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if full {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
