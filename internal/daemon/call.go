package daemon

import (
	"io"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// Field is one header field of a request or an answer.
type Field struct {
	name, value string
}

// NewField returns a header field.
func NewField(name, value string) Field { return Field{name: name, value: value} }

// Name returns the field's name.
func (f Field) Name() string { return f.name }

// Value returns the field's value.
func (f Field) Value() string { return f.value }

// Call is a caller's request, free of any front end's encoding.
type Call struct {
	method, path, query string
	fields              []Field
	body                io.Reader
	length              int64
	keyDigest           string
	idempotencyKey      string
	timeout             time.Duration
	parent              string
}

// NewCall returns a request for a path, with a body of length bytes, -1 where
// that is not known.
func NewCall(method, path, query string, body io.Reader, length int64) *Call {
	return &Call{method: method, path: path, query: query, body: body, length: length}
}

// SetFields sets the header fields. They must not hold the caller's key.
func (c *Call) SetFields(fields []Field) { c.fields = fields }

// SetKeyDigest sets the digest of the caller's key, in lower-case hex.
func (c *Call) SetKeyDigest(digest string) { c.keyDigest = digest }

// SetIdempotencyKey sets the idempotency key.
func (c *Call) SetIdempotencyKey(key string) { c.idempotencyKey = key }

// SetTimeout sets how long the caller waits; zero leaves it to the route.
func (c *Call) SetTimeout(d time.Duration) { c.timeout = d }

// SetParent sets the token of the request that led to this one. Only calls of
// the daemon's own backend server have one.
func (c *Call) SetParent(token string) { c.parent = token }

func (c *Call) target() string {
	if c.query == "" {
		return c.path
	}
	return c.path + "?" + c.query
}

// Response is what a caller gets.
type Response struct {
	outcome    caller.Outcome
	reason     caller.Reason
	retryAfter time.Duration
	backend    string
	status     int
	fields     []Field
	body       io.ReadCloser
	length     int64
}

// Outcome says what became of the request.
func (a *Response) Outcome() caller.Outcome { return a.outcome }

// Reason says why the daemon itself answers, or is NoReason where a backend
// server answered.
func (a *Response) Reason() caller.Reason { return a.reason }

// RetryAfter returns when asking again may help, zero where that is not known.
func (a *Response) RetryAfter() time.Duration { return a.retryAfter }

// Backend returns the backend server that answered.
func (a *Response) Backend() string { return a.backend }

// Status returns the HTTP status of the backend server's answer.
func (a *Response) Status() int { return a.status }

// Fields returns the header fields of the backend server's answer.
func (a *Response) Fields() []Field { return a.fields }

// Body returns the body, or nil. An error other than io.EOF says that the rest
// is lost. It must be closed.
func (a *Response) Body() io.ReadCloser { return a.body }

// Length returns the size of the body in bytes, or -1.
func (a *Response) Length() int64 { return a.length }

func refusedResponse(reason caller.Reason) *Response {
	return &Response{outcome: caller.OutcomeNotRun, reason: reason}
}

func unknownResponse(reason caller.Reason) *Response {
	return &Response{outcome: caller.OutcomeUnknown, reason: reason}
}
