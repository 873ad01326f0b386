package daemon

import (
	"io"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// Field is one header field of a request or a response.
type Field struct {
	name, value string
}

// NewField returns a header field.
func NewField(name, value string) Field { return Field{name: name, value: value} }

// Name returns the name of the field.
func (f Field) Name() string { return f.name }

// Value returns the value of the field.
func (f Field) Value() string { return f.value }

// Call is a caller's request, independent of the encoding of any front end. It must not
// be modified after it has been passed to Daemon.Serve.
type Call struct {
	method, path, query string
	fields              []Field
	body                io.Reader
	length              int64
	credential          caller.Credential[string]
	idempotencyKey      string
	timeout             time.Duration
	parent              string
}

// NewCall returns a request with a body of length bytes, or -1 if the length is
// unknown. The body may be nil if there is none. path is in its escaped form, and query
// is without the question mark.
func NewCall(method, path, query string, body io.Reader, length int64) *Call {
	return &Call{method: method, path: path, query: query, body: body, length: length}
}

// SetFields sets the header fields, which must not contain the caller's API key.
func (c *Call) SetFields(fields []Field) { c.fields = fields }

// SetCredential sets the credential with the SHA-256 digest of the caller's API key, in lower-case
// hex.
func (c *Call) SetCredential(credential caller.Credential[string]) { c.credential = credential }

// SetIdempotencyKey sets the key that identifies repetitions of a request. Empty means
// none.
func (c *Call) SetIdempotencyKey(key string) { c.idempotencyKey = key }

// SetTimeout sets the caller's timeout. It applies if it is above zero and shorter than
// the timeout of the route.
func (c *Call) SetTimeout(d time.Duration) { c.timeout = d }

// SetParent sets the token of the request during which this one was made. Only
// calls by the daemon's own backend server have one.
func (c *Call) SetParent(token string) { c.parent = token }

func (c *Call) target() string {
	if c.query == "" {
		return c.path
	}
	return c.path + "?" + c.query
}

// Response is the result of a Call, from a backend server or from the daemon
// itself.
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

// Outcome returns whether a backend server ran the request, as far as is known.
func (r *Response) Outcome() caller.Outcome { return r.outcome }

// Reason returns why the daemon itself responded, or caller.ReasonNone for a
// backend server's response.
func (r *Response) Reason() caller.Reason { return r.reason }

// RetryAfter returns how long to wait before retrying, or zero if unknown.
func (r *Response) RetryAfter() time.Duration { return r.retryAfter }

// Backend returns the name of the slot whose backend server was tried last, or
// an empty string if none was.
func (r *Response) Backend() string { return r.backend }

// Status returns the HTTP status of the backend server's response, or zero if the
// response is the daemon's own.
func (r *Response) Status() int { return r.status }

// Fields returns the header fields of the backend server's response. The caller must
// not modify the slice.
func (r *Response) Fields() []Field { return r.fields }

// Body returns the response body, or nil. The caller must close it. A read error
// other than io.EOF means that the body is truncated.
func (r *Response) Body() io.ReadCloser { return r.body }

// Length returns the length of the body in bytes, or -1 if unknown.
func (r *Response) Length() int64 { return r.length }

func refusedResponse(reason caller.Reason) *Response {
	return &Response{outcome: caller.OutcomeNotRun, reason: reason}
}

func unknownResponse(reason caller.Reason) *Response {
	return &Response{outcome: caller.OutcomeUnknown, reason: reason}
}
