package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// smallBody is the size in bytes up to which a body goes along with its
// request; a larger one is sent once the request has been admitted.
const smallBody = 16 << 10

// inbound serves the requests that other daemons hand over.
type inbound struct {
	admission *admission
}

// ServeHTTP implements http.Handler.
func (in *inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hop := &schema.Hop{}
	if err := takeMessage(r.Header, hopHeader, hop); err != nil {
		http.Error(w, "not a daemon's request", http.StatusBadRequest)
		return
	}
	work := decodeHop(hop, time.Now())
	work.method, work.target, work.host, work.header = r.Method, r.RequestURI, r.Host, r.Header
	work.id = in.admission.protocol.RequestMetadata(r.Header).ID()
	b, err := readSmall(w, r)
	dropConnectionFields(work.header)
	if err != nil {
		// The sending daemon has gone; nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	work.body = b
	reply(w, in.admission.serve(r.Context(), work, hop.GetInstance(), !hop.GetFinal()))
}

// bodyWait bounds how long an admitted request waits for its body.
const bodyWait = time.Second

// readSmall reads a small body whole and leaves a larger one, or one that the
// sender holds back, to be read once the request has been admitted.
func readSmall(w http.ResponseWriter, r *http.Request) (body, error) {
	switch {
	case r.ContentLength == 0:
		return body{}, nil
	case r.ContentLength > 0 && r.ContentLength <= smallBody && r.Header.Get("Expect") == "":
		data, err := io.ReadAll(r.Body)
		if err == nil && int64(len(data)) != r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return body{start: data, length: r.ContentLength}, err
	}
	control := http.NewResponseController(w)
	return body{rest: r.Body, length: r.ContentLength, bound: func(until time.Time) error {
		if err := control.SetReadDeadline(until); err != nil {
			return fmt.Errorf("bound body: %w", err)
		}
		return nil
	}}, nil
}

// reply answers another daemon.
func reply(w http.ResponseWriter, r *result) {
	h := w.Header()
	status := http.StatusServiceUnavailable
	if r.answered() {
		status = r.status
		copyFields(h, r.header)
	}
	if err := setMessage(h, reportHeader, encodeReport(r)); err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, status, r.body)
}

// writeBody writes an answer whose body is at hand.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	if h["Content-Type"] == nil {
		// Keeps the library from guessing one.
		h["Content-Type"] = nil
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}

// reasonText is the body of a refusal.
func reasonText(o caller.Outcome, reason caller.Reason) []byte {
	return []byte(o.String() + ": " + string(reason) + "\n")
}
