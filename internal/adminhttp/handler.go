package adminhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/wirecheck"
)

const (
	// clientName identifies the client to go-zero.
	clientName = "admin"
	// statusTimeout bounds FetchStatus.
	statusTimeout = 5 * time.Second
	// maxStatusBytes is the maximum size of a status response.
	maxStatusBytes = 64 << 20
)

// ErrTooLong is returned by FetchStatus if the status exceeds maxStatusBytes.
var ErrTooLong = eris.New("status too long")

// NewHandler returns the handler for the admin endpoints of a daemon.
func NewHandler(d *daemon.Daemon) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { serveStatus(w, d) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, d) })
	mux.Handle("GET /metrics", d.Metrics())
	return mux
}

func serveStatus(w http.ResponseWriter, d *daemon.Daemon) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(d.Status())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func serveReady(w http.ResponseWriter, d *daemon.Daemon) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// FetchStatus fetches the status of the daemon with the given admin address, a host and
// port. It gives up after 5 s.
func FetchStatus(ctx context.Context, address string) (*schema.Status, error) {
	breaker.NoBreakerFor(clientName)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	client := &http.Client{Transport: wirecheck.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true})}
	resp, err := httpc.NewServiceWithClient(clientName, client).DoRequest(req)
	if err != nil {
		return nil, fmt.Errorf("request status: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read status: %w", err)
	case len(data) > maxStatusBytes:
		return nil, fmt.Errorf("read status of more than %d bytes: %w", maxStatusBytes, ErrTooLong)
	}
	s := &schema.Status{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}
