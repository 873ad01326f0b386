package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// RequestMetadata holds the values of a caller's header fields.
type RequestMetadata struct {
	id      string
	timeout time.Duration
	// credential holds the caller's API key.
	credential caller.Credential[string]
}

// NewRequestMetadata returns the metadata of a request: its id, the time that the
// caller waits for a response, or 0 if unknown, and the credential with the API key.
func NewRequestMetadata(id string, timeout time.Duration, credential caller.Credential[string]) RequestMetadata {
	return RequestMetadata{id: id, timeout: timeout, credential: credential}
}

// Origin is the origin of a request as it is passed to a backend server.
type Origin struct {
	id, service, customer string
}

// ID returns the id that the caller gave the request, or "" if there is none.
func (o Origin) ID() string { return o.id }

// Service returns the service of the daemon that received the request from its
// caller.
func (o Origin) Service() string { return o.service }

// Customer returns the customer of the request, or "" if there is none.
func (o Origin) Customer() string { return o.customer }

// ResponseMetadata holds the information about a request and the backend server
// that the status and the header fields of a response contain.
type ResponseMetadata struct {
	notRun, wrongInstance bool
	// instance is the id of the instance that responded, if known.
	instance string
	// warmupRemaining is the time for which the backend server stays cold, valid if
	// warmupKnown is set.
	warmupRemaining time.Duration
	warmupKnown     bool
}

// WithWarmupRemaining returns a copy of the metadata with the time for which the
// backend server stays cold.
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
	// server: it removes the API key and adds the origin. The fields that the caller's
	// Connection field lists have been removed before.
	Prepare(h http.Header, o Origin)
	// SetTarget sets the header fields for the instance that the request is meant
	// for and for the time that remains until the deadline.
	SetTarget(h http.Header, instance string, remaining time.Duration)
	// ParentID returns the id of the request on whose behalf a backend server makes the
	// request with an id, and false if the id cannot be that of a call.
	ParentID(id string) (string, bool)
	// Match reports whether the header fields of a response belong to the request with an
	// id, or to one without an id if that is empty.
	Match(id string, h http.Header) http1.Match
	// ResponseMetadata reads the status and the header fields of a backend
	// server's response.
	ResponseMetadata(status int, h http.Header) ResponseMetadata
}

var (
	// ErrCompacted is returned by Source.Watch if the store no longer has all
	// changes after the requested revision.
	ErrCompacted = eris.New("changes since the requested revision are no longer available")
	// ErrOtherEra is returned by a Source for a list that the store has begun in one era and
	// continued in another, and by a daemon for a response of an era that it has left.
	ErrOtherEra = eris.New("response of another era of the store")
	// ErrStoreUnavailable is returned by a Source while the store cannot be read.
	ErrStoreUnavailable = eris.New("store is unavailable")
)

// Source reads the operators' store.
type Source interface {
	// List returns all items under a prefix and the position up to which the
	// list is complete. Unless current is set, the list may be some seconds
	// old, which costs the store less.
	List(ctx context.Context, prefix string, current bool) (items []replica.Item, at replica.Position, err error)
	// Watch returns the changes under a prefix after a revision as soon as
	// there are any, or none after wait. The returned position is the one to continue
	// from. If it is in another era than the revision, the changes have no meaning.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (items []replica.Item, upTo replica.Position, err error)
}

// Decoder decodes items of the store.
type Decoder interface {
	// Decode returns the change that an item describes, or nil if the item is
	// not relevant to the daemon. With an error it may return a change, too: the
	// removal of the instance that the item described before.
	Decode(i replica.Item) (Change, error)
}

// Change is a decoded change of the store's content.
type Change interface {
	// apply applies the change that an item of an era describes. The caller holds applyMu.
	apply(now time.Time, s *fleetState, i replica.Item, era uint64)
}

type configChange struct{ config *operator.Config }

// NewConfigChange returns the publication of a configuration version.
func NewConfigChange(c *operator.Config) Change { return configChange{config: c} }

type instanceChange struct{ instance fleet.Instance }

// NewInstanceChange returns the publication or update of an instance.
func NewInstanceChange(i fleet.Instance) Change { return instanceChange{instance: i} }

type removalChange struct{ id string }

// NewRemovalChange returns the removal of a published instance.
func NewRemovalChange(id string) Change { return removalChange{id: id} }

type evacuationChange struct {
	centre    string
	evacuated bool
}

// NewEvacuationChange returns a change that takes a data centre out of service,
// or back into service.
func NewEvacuationChange(centre string, evacuated bool) Change {
	return evacuationChange{centre: centre, evacuated: evacuated}
}

// ID returns the request's id.
func (m RequestMetadata) ID() string { return m.id }
