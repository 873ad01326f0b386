package fleet

import (
	"time"
)

// Instance is one run of a backend server, from start to exit, as published in
// the store. Use NewInstance to create one.
type Instance struct {
	id, service, centre string
	address             Address
	startedAt           time.Time
	slots               int
	draining            bool
	warmupRemaining     time.Duration
}

// NewInstance returns an instance of a service in the data centre named centre. It runs
// one request at a time and is neither draining nor warming up.
func NewInstance(id, service, centre string, address Address, startedAt time.Time) Instance {
	return Instance{id: id, service: service, centre: centre, address: address, startedAt: startedAt, slots: 1}
}

// WithSlots returns a copy of the instance that runs n requests concurrently. A number
// below 1 is taken as 1.
func (i Instance) WithSlots(n int) Instance {
	i.slots = max(n, 1)
	return i
}

// WithState returns a copy of the instance with its draining state and its
// remaining warm-up time.
func (i Instance) WithState(draining bool, warmupRemaining time.Duration) Instance {
	i.draining, i.warmupRemaining = draining, warmupRemaining
	return i
}

// ID returns the instance id. At any time it is unique in the store, but a later
// instance may reuse it.
func (i Instance) ID() string { return i.id }

// Service returns the name of the service.
func (i Instance) Service() string { return i.service }

// Centre returns the name of the data centre.
func (i Instance) Centre() string { return i.centre }

// Address returns the address of the backend server. The daemon beside it has the
// same IP address.
func (i Instance) Address() Address { return i.address }

// StartedAt returns when the backend server started.
func (i Instance) StartedAt() time.Time { return i.startedAt }

// Slots returns how many requests the backend server runs concurrently.
func (i Instance) Slots() int { return i.slots }

// Draining reports whether the instance has announced its shutdown.
func (i Instance) Draining() bool { return i.draining }

// WarmupRemaining returns the remaining warm-up time, as of the last change of the
// entry in the store, or zero if the instance does not warm up.
func (i Instance) WarmupRemaining() time.Duration { return i.warmupRemaining }

// SameIncarnation reports whether both values describe the same run of the same
// backend server.
func (i Instance) SameIncarnation(o Instance) bool {
	return i.id == o.id && i.startedAt.Equal(o.startedAt)
}
