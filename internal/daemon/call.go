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
	key                 string
	idempotency         string
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

// SetKey sets the digest of the caller's key, in lower-case hex.
func (c *Call) SetKey(digest string) { c.key = digest }

// SetIdempotency sets the idempotency key.
func (c *Call) SetIdempotency(key string) { c.idempotency = key }

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

// Answer is what a caller gets.
type Answer struct {
	outcome caller.Outcome
	reason  caller.Reason
	again   time.Duration
	backend string
	status  int
	fields  []Field
	body    io.ReadCloser
	length  int64
}

// Outcome says what became of the request.
func (a *Answer) Outcome() caller.Outcome { return a.outcome }

// Reason says why the daemon itself answers, or is NoReason where a backend
// server answered.
func (a *Answer) Reason() caller.Reason { return a.reason }

// Again returns when asking again may help, zero where that is not known.
func (a *Answer) Again() time.Duration { return a.again }

// Backend returns the backend server that answered.
func (a *Answer) Backend() string { return a.backend }

// Status returns the HTTP status of the backend server's answer.
func (a *Answer) Status() int { return a.status }

// Fields returns the header fields of the backend server's answer.
func (a *Answer) Fields() []Field { return a.fields }

// Body returns the body, or nil. An error other than io.EOF says that the rest
// is lost. It must be closed.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Length returns the size of the body in bytes, or -1.
func (a *Answer) Length() int64 { return a.length }

func refuse(reason caller.Reason) *Answer {
	return &Answer{outcome: caller.OutcomeNotRun, reason: reason}
}

func unsure(reason caller.Reason) *Answer {
	return &Answer{outcome: caller.OutcomeUnknown, reason: reason}
}
