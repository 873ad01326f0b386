package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// RequestMetadata is what the header fields of a caller's request state.
type RequestMetadata struct {
	id      string
	timeout time.Duration
	key     string
}

// NewRequestMetadata returns the metadata of a request with an id, the time
// that the caller waits, zero if not stated, and the key, if any.
func NewRequestMetadata(id string, timeout time.Duration, key string) RequestMetadata {
	return RequestMetadata{id: id, timeout: timeout, key: key}
}

// Origin is the origin of a request as it is passed to a backend server.
type Origin struct {
	service, customer string
}

// Service returns the service of the instance that received the request from
// its caller.
func (o Origin) Service() string { return o.service }

// Customer returns the customer of the request, or "" if there is none.
func (o Origin) Customer() string { return o.customer }

// ResponseMetadata is what the status and the header fields of a backend
// server's response state about the request and the server.
type ResponseMetadata struct {
	notRun, wrongInstance bool
	instance              string
	warmupRemaining       time.Duration
	warmupKnown           bool
}

// WithWarmupRemaining returns the metadata with the time that the backend
// server stays cold.
func (m ResponseMetadata) WithWarmupRemaining(d time.Duration) ResponseMetadata {
	m.warmupRemaining, m.warmupKnown = d, true
	return m
}

// NewResponseMetadata returns the metadata of a response: whether the request
// was not run, whether that is because another instance has the address, and
// the id of that instance, if known.
func NewResponseMetadata(notRun, wrongInstance bool, instance string) ResponseMetadata {
	return ResponseMetadata{notRun: notRun, wrongInstance: wrongInstance, instance: instance}
}

// Protocol translates between the header fields of callers and backend servers
// and the types of this package.
type Protocol interface {
	// RequestMetadata reads the header fields of a caller's request.
	RequestMetadata(h http.Header) RequestMetadata
	// Prepare rewrites the header fields of a caller's request for a backend
	// server: it removes the key and adds the origin.
	Prepare(h http.Header, o Origin)
	// SetTarget adds the instance that the request is meant for and the time
	// that remains.
	SetTarget(h http.Header, instance string, left time.Duration)
	// Matches reports whether a response belongs to the request with an id.
	Matches(id string, answer http.Header) bool
	// ResponseMetadata reads the status and the header fields of a backend
	// server's response.
	ResponseMetadata(status int, answer http.Header) ResponseMetadata
}

var (
	// ErrCompacted states that a source no longer has all changes after the
	// requested revision.
	ErrCompacted = eris.New("changes since the requested revision are no longer available")
	// ErrStoreUnavailable states that a source cannot be read at present.
	ErrStoreUnavailable = eris.New("store is unavailable")
)

// Source reads the operators' store.
type Source interface {
	// List returns all items under a prefix and the revision up to which the
	// list is complete. Unless current is set, the list may be some seconds
	// old, which costs the store less.
	List(ctx context.Context, prefix string, current bool) (items []replica.Item, revision uint64, err error)
	// Watch returns the changes under a prefix after a revision as soon as
	// there are any, or none after wait, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (items []replica.Item, revision uint64, err error)
}

// Decoder decodes items of the store.
type Decoder interface {
	// Decode returns the change that an item describes, or nil if the item is
	// not relevant to the daemon.
	Decode(i replica.Item) (Change, error)
}

// Change is a decoded change of the store's content.
type Change interface {
	apply(now time.Time, s *fleetState)
}

type configChange struct{ config *operator.Config }

// NewConfigChange returns a change to a configuration version.
func NewConfigChange(c *operator.Config) Change { return configChange{config: c} }

type instanceChange struct{ instance fleet.Instance }

// NewInstanceChange returns the publication or update of a backend server's
// entry.
func NewInstanceChange(i fleet.Instance) Change { return instanceChange{instance: i} }

type removalChange struct{ id string }

// NewRemovalChange returns the removal of a backend server's entry.
func NewRemovalChange(id string) Change { return removalChange{id: id} }

type evacuationChange struct {
	centre    string
	evacuated bool
}

// NewEvacuationChange returns a change that takes a data centre out of service,
// or back into service.
func NewEvacuationChange(centre string, out bool) Change {
	return evacuationChange{centre: centre, evacuated: out}
}

// ID returns the request's id.
func (m RequestMetadata) ID() string { return m.id }
