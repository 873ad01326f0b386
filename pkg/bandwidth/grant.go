package bandwidth

import (
	"slices"
	"time"
)

const (
	// linkLead is how long before the end of a body the next one may be granted, so that the
	// link is not idle while the next sender is asked for its body.
	linkLead = 5 * time.Millisecond
	// arrivalGrace is how long nothing more of a body may arrive, once it should have arrived
	// whole, before the next one is granted beside it. It covers a round trip and the pauses of
	// a machine with a fraction of a core. A longer one would let a sender that has stopped hold
	// up the others.
	arrivalGrace = 30 * time.Millisecond
	// maxArrival is how many times the expected duration a body may hold up others while it
	// arrives. The bodies over a slow link do not overlap then, and a sender that sends a few
	// bytes at a time does not hold up the others for long.
	maxArrival = 4
	// maxUnrequested is the time that the link needs for the bodies that are granted but not
	// requested yet, beyond which none is granted. These requests wait for a slot of the backend
	// server, and all their bodies may be requested at the same time.
	maxUnrequested = 200 * time.Millisecond
)

// advance refuses bodies that would arrive too late, and grants others. fresh is the body that
// has just been submitted, or nil.
func (l *Link) advance(now time.Time, fresh *Entry) {
	l.sort(now)
	l.refuseHopeless(now, fresh)
	l.refuseLate(now, fresh)
	for len(l.waiting) > 0 && l.mayGrant(now) {
		first := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.open = append(l.open, first)
		l.grant(now, first)
	}
}

func (l *Link) grant(now time.Time, e *Entry) {
	e.reserved = later(now, l.free)
	e.cost = l.cost(e.transfer.size)
	l.free = e.reserved.Add(e.cost)
	l.counts.granted++
	e.decide(Granted)
}

// mayGrant reports whether the next body may be granted.
func (l *Link) mayGrant(now time.Time) bool {
	if l.free.After(now.Add(linkLead)) {
		return false
	}
	var unrequested time.Duration
	for _, e := range l.open {
		switch {
		case e.requested.IsZero():
			unrequested += e.cost
		case now.Before(l.overdueAt(e)):
			return false
		}
	}
	return unrequested == 0 || unrequested+l.cost(l.waiting[0].transfer.size) <= maxUnrequested
}

// overdueAt returns the time until which a body that is under way holds up others.
func (l *Link) overdueAt(e *Entry) time.Time {
	expected := later(e.requested.Add(e.cost), e.progressed).Add(arrivalGrace)
	return earlier(expected, e.requested.Add(maxArrival*e.cost+arrivalGrace))
}

// underWay reports whether the body of an open entry has been requested.
func underWay(e *Entry) bool { return !e.requested.IsZero() }

func (e *Entry) decide(s State) {
	e.state = s
	close(e.decided)
}
