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
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// Header fields between callers and the daemon.
const (
	// KeyHeader has the caller's key; Authorization: Bearer is taken too.
	KeyHeader = "Lycheehead-Key"
	// IdempotencyKeyHeader names a request over all its sendings.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader has how long the caller waits, as in 500ms or 2s.
	TimeoutHeader = "Lycheehead-Deadline"
	// OutcomeHeader says ran, not-run or unknown.
	OutcomeHeader = "Lycheehead-Outcome"
	// ReasonHeader says why the daemon itself answered.
	ReasonHeader = "Lycheehead-Reason"
)

const (
	authorization = "Authorization"
	bearer        = "Bearer "
)

// copySize is the buffer in bytes of an answer's body on its way.
const copySize = 32 << 10

// Handler serves callers, or the daemon's own backend server.
type Handler struct {
	daemon *daemon.Daemon
	local  bool
}

// NewHandler returns the handler for callers.
func NewHandler(d *daemon.Daemon) *Handler { return &Handler{daemon: d} }

// NewLocalHandler returns the handler for the calls of the daemon's own backend
// server, which name the request that they follow from.
func NewLocalHandler(d *daemon.Daemon) *Handler { return &Handler{daemon: d, local: true} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := h.call(r)
	if !ok {
		h.refuse(w, http.StatusBadRequest, caller.OutcomeNotRun, caller.ReasonBadRequest)
		return
	}
	a := h.daemon.Serve(r.Context(), c)
	if a.Body() == nil {
		if again := a.Again(); again > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(again/time.Second)+1))
		}
		h.refuse(w, status(a), a.Outcome(), a.Reason())
		return
	}
	defer func() { _ = a.Body().Close() }()
	h.answer(w, a)
}

// call takes a request out of HTTP. It fails where the key stands in the
// target or the timeout cannot be read.
func (h *Handler) call(r *http.Request) (*daemon.Call, bool) {
	key := keyOf(r.Header)
	if key != "" && strings.Contains(r.RequestURI, key) {
		return nil, false
	}
	c := daemon.NewCall(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Body, r.ContentLength)
	if key != "" {
		digest := sha256.Sum256([]byte(key))
		c.SetKey(hex.EncodeToString(digest[:]))
	}
	c.SetIdempotency(r.Header.Get(IdempotencyKeyHeader))
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
	c.SetFields(fields(r.Header, key))
	return c, true
}

func keyOf(h http.Header) string {
	if key := h.Get(KeyHeader); key != "" {
		return key
	}
	if key, ok := strings.CutPrefix(h.Get(authorization), bearer); ok {
		return key
	}
	return ""
}

// own are the fields that end at the daemon.
var own = map[string]bool{
	KeyHeader:             true,
	authorization:         true,
	TimeoutHeader:         true,
	OutcomeHeader:         true,
	ReasonHeader:          true,
	daemon.ParentHeader:   true,
	daemon.CustomerHeader: true,
	daemon.TimeoutHeader:  true,
	// Fields of one connection, which HTTP does not pass on.
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// fields returns the header fields to pass on, without any that holds the key.
func fields(h http.Header, key string) []daemon.Field {
	named := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	list := make([]daemon.Field, 0, len(h))
	for name, values := range h {
		if own[name] || named[name] {
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

func (h *Handler) refuse(w http.ResponseWriter, status int, o caller.Outcome, reason caller.Reason) {
	w.Header().Set(OutcomeHeader, o.String())
	w.Header().Set(ReasonHeader, string(reason))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, o.String()+": "+string(reason)+"\n")
}

// answer passes a backend server's answer on. Where its body is cut, so is the
// caller's connection, and the answer cannot look whole.
func (h *Handler) answer(w http.ResponseWriter, a *daemon.Answer) {
	header := w.Header()
	for _, f := range a.Fields() {
		if !own[f.Name()] {
			header.Add(f.Name(), f.Value())
		}
	}
	header.Set(OutcomeHeader, a.Outcome().String())
	if a.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.Length(), 10))
	}
	w.WriteHeader(a.Status())
	if err := pass(w, a.Body()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// pass copies a body and flushes what has come whenever more is awaited.
func pass(w http.ResponseWriter, body io.Reader) error {
	flusher, _ := w.(http.Flusher)
	buf := make([]byte, copySize)
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
