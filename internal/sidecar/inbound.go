package sidecar

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/handover"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// inbound handles the requests that other daemons forward.
type inbound struct {
	admission *admission
}

// ServeHTTP implements http.Handler.
func (in *inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hop := &schema.Hop{}
	if err := extractMessage(r.Header, hopHeader, hop); err != nil {
		http.Error(w, "not a daemon's request", http.StatusBadRequest)
		return
	}
	req := decodeHop(hop, time.Now())
	req.method, req.target, req.host, req.header = r.Method, r.RequestURI, r.Host, r.Header
	req.id = in.admission.protocol.RequestMetadata(r.Header).ID()
	b, err := readInlineBody(w, r)
	http1.DropConnectionFields(req.header)
	if err != nil {
		// The sending daemon has disconnected, so no response can be sent.
		panic(http.ErrAbortHandler)
	}
	req.body = in.admission.link.receive(b)
	defer func() { req.body.lease.Release() }()
	result := in.admission.serve(r.Context(), req, hop.GetInstance(), !hop.GetFinal())
	defer result.lease.Release()
	reply(w, result)
}

// bodyReadTimeout bounds how long an admitted request waits for its body.
const bodyReadTimeout = time.Second

// readInlineBody reads a body of up to upstream.MaxInlineBody bytes. A larger one, or one that the
// sender sends only on request (Expect: 100-continue), is read once the request has been
// admitted.
func readInlineBody(w http.ResponseWriter, r *http.Request) (body, error) {
	switch {
	case r.ContentLength == 0:
		return body{}, nil
	case r.ContentLength > 0 && r.ContentLength <= upstream.MaxInlineBody && r.Header.Get("Expect") == "":
		data, err := io.ReadAll(r.Body)
		if err == nil && int64(len(data)) != r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return body{prefix: data, length: r.ContentLength}, err
	}
	control := http.NewResponseController(w)
	receipt := handover.NewReceipt[handover.FirstByte](r.Header.Get("Expect") != "")
	return body{rest: r.Body, length: r.ContentLength, receipt: receipt, setReadDeadline: func(until time.Time) error {
		if err := control.SetReadDeadline(until); err != nil {
			return fmt.Errorf("set body read deadline: %w", err)
		}
		return nil
	}}, nil
}

// reply writes the response to another daemon, with the result in a header field.
func reply(w http.ResponseWriter, r *result) {
	h := w.Header()
	status := http.StatusServiceUnavailable
	if r.hasResponse() {
		status = r.status
		maps.Copy(h, r.header)
	}
	if err := setMessage(h, reportHeader, encodeReport(r)); err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, status, r.body)
}

// goAwayHeader returns the header of the response that tells another daemon that its
// connection is closed, and that a request which it has just sent there is not read.
func goAwayHeader() (http.Header, error) {
	h := make(http.Header)
	if err := setMessage(h, reportHeader, encodeReport(notRun(caller.ReasonLeaving))); err != nil {
		return nil, fmt.Errorf("encode closing notice: %w", err)
	}
	return h, nil
}

// writeBody writes the status, the header and the body of a response.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	if h["Content-Type"] == nil {
		// A nil entry keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	// A response to HEAD has an entry for the length of the body that it does not have.
	if _, ok := h["Content-Length"]; !ok && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}

// refusalBody returns the text that explains to the caller why there is no response of a
// backend server.
func refusalBody(o caller.Outcome, reason caller.Reason) []byte {
	return []byte(o.String() + ": " + string(reason) + "\n")
}
