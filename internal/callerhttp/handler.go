package callerhttp

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// Header fields between callers and the daemon.
const (
	// KeyHeader holds the caller's API key. Authorization: Bearer is accepted
	// as well.
	KeyHeader = "Lycheehead-Key"
	// IdempotencyKeyHeader holds the key that identifies a request if its caller sends
	// it again.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader is how long the caller waits, in the format of
	// time.ParseDuration, for example 500ms or 2s. Between the daemon and its
	// backend server, daemon.TimeoutHeader is used instead.
	TimeoutHeader = "Lycheehead-Deadline"
	// OutcomeHeader reports whether a backend server ran the request: ran, not-run
	// or unknown.
	OutcomeHeader = "Lycheehead-Outcome"
	// ReasonHeader is the reason why the daemon responded in place of a backend
	// server.
	ReasonHeader = "Lycheehead-Reason"
)

const authorization = "Authorization"

// copyBufferBytes is the size of the buffer for copying a response body.
const copyBufferBytes = 32 << 10

// Handler handles the requests of callers or of the daemon's own backend server. It is
// safe for concurrent use.
type Handler struct {
	daemon *daemon.Daemon
	// local is set if the requests come from the daemon's own backend server.
	local bool
}

// NewHandler returns the handler for callers.
func NewHandler(d *daemon.Daemon) *Handler { return &Handler{daemon: d} }

// NewLocalHandler returns the handler for the daemon's own backend server. Its requests
// identify in daemon.ParentHeader the request during which they are made.
func NewLocalHandler(d *daemon.Daemon) *Handler { return &Handler{daemon: d, local: true} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := h.decodeCall(r)
	if !ok {
		h.writeRefusal(w, http.StatusBadRequest, caller.OutcomeNotRun, caller.ReasonBadRequest)
		return
	}
	defer h.daemon.Bodies().Limit(w)()
	resp := h.daemon.Serve(r.Context(), c)
	if resp.Body() == nil {
		if delay := resp.RetryAfter(); delay > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(delay/time.Second)+1))
		}
		h.writeRefusal(w, refusalStatus(resp), resp.Outcome(), resp.Reason())
		return
	}
	defer func() { _ = resp.Body().Close() }()
	h.writeResponse(w, resp)
}

// decodeCall converts an HTTP request to a call. It fails if the request target
// contains the API key or if the timeout is invalid.
func (h *Handler) decodeCall(r *http.Request) (*daemon.Call, bool) {
	key, presented := apiKey(r.Header)
	if key != "" && strings.Contains(r.RequestURI, key) {
		return nil, false
	}
	c := daemon.NewCall(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Body, r.ContentLength)
	switch {
	case key != "":
		digest := sha256.Sum256([]byte(key))
		c.SetCredential(caller.NewCredential(hex.EncodeToString(digest[:])))
	case presented:
		c.SetCredential(caller.MalformedCredential[string]())
	}
	c.SetIdempotencyKey(r.Header.Get(IdempotencyKeyHeader))
	if text := r.Header.Get(TimeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return nil, false
		}
		c.SetTimeout(timeout)
	}
	if h.local {
		c.SetParent(r.Header.Get(daemon.ParentHeader))
	}
	c.SetFields(forwardedFields(r.Header, key))
	return c, true
}

// apiKey returns the caller's API key, and whether the caller presents anything as a key.
func apiKey(h http.Header) (key string, presented bool) {
	switch values := h.Values(KeyHeader); len(values) {
	case 0:
		return http1.BearerToken(h)
	case 1:
		return values[0], true
	}
	// Several keys might name different callers.
	return "", true
}

// notForwarded is the set of header fields that the daemon does not forward.
var notForwarded = map[string]bool{
	KeyHeader:             true,
	authorization:         true,
	TimeoutHeader:         true,
	OutcomeHeader:         true,
	ReasonHeader:          true,
	daemon.ParentHeader:   true,
	daemon.CustomerHeader: true,
	daemon.TimeoutHeader:  true,
}

// forwardedFields returns the header fields to forward, without those that contain the
// API key. It drops the connection fields from h.
func forwardedFields(h http.Header, key string) []daemon.Field {
	http1.DropConnectionFields(h)
	list := make([]daemon.Field, 0, len(h))
	for name, values := range h {
		if notForwarded[name] {
			continue
		}
		for _, v := range values {
			if key != "" && (strings.Contains(v, key) || strings.Contains(name, key)) {
				continue
			}
			list = append(list, daemon.NewField(name, v))
		}
	}
	return list
}

// writeRefusal writes the response to a request that no backend server responded to.
func (h *Handler) writeRefusal(w http.ResponseWriter, status int, o caller.Outcome, reason caller.Reason) {
	w.Header().Set(OutcomeHeader, o.String())
	w.Header().Set(ReasonHeader, string(reason))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.announceStop(w.Header())
	w.WriteHeader(status)
	_, _ = io.WriteString(w, o.String()+": "+string(reason)+"\n")
}

// announceStop makes a response the last one of its connection if the daemon is stopping.
// Otherwise the next request of the caller might cross the end of the connection.
func (h *Handler) announceStop(header http.Header) {
	if h.daemon.Stopping() {
		header.Set("Connection", "close")
	}
}

// writeResponse forwards the response of a backend server. If its body is truncated,
// the caller's connection is aborted, so that the caller does not take the response
// for a complete one.
func (h *Handler) writeResponse(w http.ResponseWriter, resp *daemon.Response) {
	header := w.Header()
	for _, f := range resp.Fields() {
		if !notForwarded[f.Name()] {
			header.Add(f.Name(), f.Value())
		}
	}
	// A daemon of another version may have passed them on.
	http1.DropConnectionFields(header)
	header.Set(OutcomeHeader, resp.Outcome().String())
	if resp.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.Length(), 10))
	}
	h.announceStop(header)
	w.WriteHeader(resp.Status())
	if err := copyBody(w, resp.Body()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies a body. It flushes after each read that does not fill the buffer, so
// that data does not stay buffered while the backend server produces more.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	flusher, _ := w.(http.Flusher)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, e := w.Write(buf[:n]); e != nil {
				return e
			}
			if n < len(buf) && flusher != nil && err == nil {
				flusher.Flush()
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}
