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

// Caller is what a caller's request says besides its method, target and body.
type Caller struct {
	id      string
	timeout time.Duration
	key     string
}

// NewCaller returns what a request says: its id, how long the caller waits,
// zero where it does not say, and its key, if any.
func NewCaller(id string, timeout time.Duration, key string) Caller {
	return Caller{id: id, timeout: timeout, key: key}
}

// Origin is what a backend server is told of where a request comes from.
type Origin struct {
	service, customer string
}

// Service returns the service on the machine where the request began.
func (o Origin) Service() string { return o.service }

// Customer returns the customer that the request runs for, or nothing.
func (o Origin) Customer() string { return o.customer }

// Verdict is what a backend server's answer says besides its content.
type Verdict struct {
	unrun, moved bool
	instance     string
	cold         time.Duration
	coldKnown    bool
}

// WithCold returns the verdict with how long the backend server stays cold.
func (v Verdict) WithCold(d time.Duration) Verdict {
	v.cold, v.coldKnown = d, true
	return v
}

// NewVerdict returns what an answer says: that the request has not run, that
// this is because another instance has the address, and that instance, if known.
func NewVerdict(unrun, moved bool, instance string) Verdict {
	return Verdict{unrun: unrun, moved: moved, instance: instance}
}

// Protocol spells what callers and backend servers are told and tell in the
// header fields of their requests and answers.
type Protocol interface {
	// Caller reads a caller's request.
	Caller(h http.Header) Caller
	// Prepare makes the header fields of a caller's request those that a backend
	// server is to get: without the key, with the origin.
	Prepare(h http.Header, o Origin)
	// Send adds the instance that is meant and the time that is left.
	Send(h http.Header, instance string, left time.Duration)
	// Matches says whether an answer belongs to the request with an id.
	Matches(id string, answer http.Header) bool
	// Verdict reads a backend server's answer.
	Verdict(status int, answer http.Header) Verdict
}

var (
	// ErrHistory says that a source no longer knows all changes after a revision.
	ErrHistory = eris.New("changes are no longer known")
	// ErrAway says that a source cannot be used now.
	ErrAway = eris.New("store is away")
)

// Source reads the operators' store.
type Source interface {
	// List returns all items under a prefix and a revision up to which the list
	// is complete. Unless it is to be current, the list may be some seconds old,
	// which costs the store less.
	List(ctx context.Context, prefix string, current bool) (items []replica.Item, revision uint64, err error)
	// Watch returns the changes under a prefix after a revision as soon as there
	// are any, or none after wait, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (items []replica.Item, revision uint64, err error)
}

// Decoder reads items of the store.
type Decoder interface {
	// Decode returns what an item means, or nil where it means nothing here.
	Decode(i replica.Item) (Change, error)
}

// Change is one thing that the store says.
type Change interface {
	apply(now time.Time, k *knowledge)
}

type configChange struct{ config *operator.Config }

// NewConfigChange returns the change to a version of the configuration.
func NewConfigChange(c *operator.Config) Change { return configChange{config: c} }

type instanceChange struct{ instance fleet.Instance }

// NewInstanceChange returns the change of a backend server's entry.
func NewInstanceChange(i fleet.Instance) Change { return instanceChange{instance: i} }

type removalChange struct{ id string }

// NewRemovalChange returns the end of a backend server's entry.
func NewRemovalChange(id string) Change { return removalChange{id: id} }

type evacuationChange struct {
	centre string
	out    bool
}

// NewEvacuationChange returns that a data centre is taken out of service, or
// back.
func NewEvacuationChange(centre string, out bool) Change {
	return evacuationChange{centre: centre, out: out}
}

// ID returns the request's id.
func (c Caller) ID() string { return c.id }
