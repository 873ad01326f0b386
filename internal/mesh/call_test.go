package mesh_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"

	"github.com/lycheehead/lycheehead/internal/callerhttp"
	"github.com/lycheehead/lycheehead/internal/standin"
)

// stalledTimeout is how long a client keeps a request open without sending its body.
const stalledTimeout = 8 * time.Second

// call sends one request to a daemon. It prints the status, the outcome, and either the
// reason or, if a backend server responded, the customer for whom the request ran, and whether
// the response ends the connection. The
// argument once is the label of an idempotency key, next lists the paths of nested requests,
// body is the size of the body in bytes, and work is the service time. With the argument
// crash, the request crashes the backend server, with stalled, none of its body is sent, and with
// truncated, the last byte of it is not.
// With listed, the request and its response have a field with that name and the value listed,
// and list it in their Connection fields.
func (r *scriptRunner) call(t *testing.T, d *datadriven.TestData) string {
	client, req := r.newCall(t, d)
	return sendCall(client, req)
}

// beginCall sends a request as call does, in the background. The argument as names it.
func (r *scriptRunner) beginCall(t *testing.T, d *datadriven.TestData) string {
	var name string
	d.ScanArgs(t, "as", &name)
	client, req := r.newCall(t, d)
	result := make(chan string, 1)
	r.pending[name] = result
	go func() { result <- sendCall(client, req) }()
	return "ok\n"
}

// newCall returns the request that the arguments describe, and the client to send it with.
func (r *scriptRunner) newCall(t *testing.T, d *datadriven.TestData) (*http.Client, *http.Request) {
	var to, path, customer, listed, label, nestedPaths, serviceTime string
	method := http.MethodGet
	body := 0
	d.ScanArgs(t, "to", &to)
	d.ScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "for", &customer)
	d.MaybeScanArgs(t, "method", &method)
	d.MaybeScanArgs(t, "listed", &listed)
	d.MaybeScanArgs(t, "once", &label)
	d.MaybeScanArgs(t, "next", &nestedPaths)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "work", &serviceTime)
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.mesh.Slot(to).CallerAddress()+path, bytes.NewReader(make([]byte, body)))
	if err != nil {
		t.Fatal(err)
	}
	if d.HasArg("stalled") {
		r, w := io.Pipe()
		// The client waits for its body even if its connection has been closed.
		time.AfterFunc(stalledTimeout, func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
		req.Body = r
	}
	if d.HasArg("truncated") {
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, body-1)), iotest.ErrReader(io.ErrUnexpectedEOF)))
	}
	req.Header.Set(standin.RequestIDHeader, d.Pos)
	req.Header.Set(standin.ServiceTimeHeader, serviceTime)
	if customer != "" {
		req.Header.Set(callerhttp.KeyHeader, customerKey(customer))
		// The daemon must not forward the key in other header fields, either.
		req.Header.Set("X-Forwarded-Key", customerKey(customer))
	}
	if listed != "" {
		req.Header.Set("Connection", listed)
		req.Header.Set(listed, "listed")
		req.Header.Set(standin.ListedHeader, listed)
	}
	if label != "" {
		req.Header.Set(callerhttp.IdempotencyKeyHeader, r.idempotencyKey(label))
	}
	if nestedPaths != "" {
		req.Header.Set(standin.NestedPathsHeader, nestedPaths)
	}
	if d.HasArg("crash") {
		req.Header.Set(standin.CrashHeader, "1")
	}
	// With one client per daemon, calls reuse its connection.
	client := r.clients[to]
	if client == nil {
		client = &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
		r.clients[to] = client
	}
	return client, req
}

// sendCall sends a request and formats the response.
func sendCall(client *http.Client, req *http.Request) string {
	resp, err := client.Do(req)
	if err != nil {
		return "no answer\n"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut\n"
	}
	reason := resp.Header.Get(callerhttp.ReasonHeader)
	if resp.Header.Get(standin.BodyDigestHeader) != "" {
		_, reason, _ = strings.Cut(strings.TrimSpace(string(text)), " for ")
		reason = "for " + reason
	}
	if listed := req.Header.Get("Connection"); listed != "" && resp.Header.Get(listed) == "listed" {
		reason += ", with " + listed
	}
	if resp.Close {
		reason += ", closes"
	}
	return fmt.Sprintf("%d %s %s\n", resp.StatusCode, resp.Header.Get(callerhttp.OutcomeHeader), reason)
}

// idempotencyKey returns the idempotency key of a label, which is created at its first use.
func (r *scriptRunner) idempotencyKey(label string) string {
	if r.idempotencyKeys[label] == "" {
		r.idempotencyKeys[label] = uuid.Must(uuid.NewV7()).String()
	}
	return r.idempotencyKeys[label]
}
