package fleet

import (
	"time"
)

// Instance is one start of a backend server as the store publishes it.
type Instance struct {
	id, service, centre string
	address             Address
	born                time.Time
	slots               int
	draining            bool
	cold                time.Duration
}

// NewInstance returns an instance with its address and the instant of its start.
func NewInstance(id, service, centre string, address Address, born time.Time) Instance {
	return Instance{id: id, service: service, centre: centre, address: address, born: born, slots: 1}
}

// WithSlots returns the instance with the requests that it runs at once.
func (i Instance) WithSlots(n int) Instance {
	i.slots = max(n, 1)
	return i
}

// WithState returns the instance leaving or not, and with how long it stays cold.
func (i Instance) WithState(draining bool, cold time.Duration) Instance {
	i.draining, i.cold = draining, cold
	return i
}

// ID returns the id.
func (i Instance) ID() string { return i.id }

// Service returns the service's name.
func (i Instance) Service() string { return i.service }

// Centre returns the data centre's name.
func (i Instance) Centre() string { return i.centre }

// Address returns the backend server's address. Its IP is that of the daemon
// beside it.
func (i Instance) Address() Address { return i.address }

// StartedAt returns the instant of the start.
func (i Instance) StartedAt() time.Time { return i.born }

// Slots returns how many requests it runs at once.
func (i Instance) Slots() int { return i.slots }

// Draining says whether it has announced its leaving.
func (i Instance) Draining() bool { return i.draining }

// WarmupRemaining returns how long it stays cold, as of the last change of its entry.
func (i Instance) WarmupRemaining() time.Duration { return i.cold }

// SameIncarnation says whether both are the same start of the same backend server.
func (i Instance) SameIncarnation(o Instance) bool { return i.id == o.id && i.born.Equal(o.born) }
