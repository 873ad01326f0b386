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
	// server, and all their bodies may be requested at the same time. Less urgent ones are
	// overtaken to make room for a more urgent one, which would otherwise have to wait until one
	// of them has a slot.
	maxUnrequested = 200 * time.Millisecond
)

// advance refuses bodies that would arrive too late, resumes overtaken ones, and grants others, which
// may overtake more. fresh is the body that has just been submitted, or nil.
func (l *Link) advance(now time.Time, fresh *Entry) {
	l.sort(now)
	l.refuseHopeless(now, fresh)
	l.refuseLate(now, fresh)
	l.resume(now)
	l.refuseOvertaken(now)
	for len(l.waiting) > 0 && l.mayGrant(now) {
		first := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.open = append(l.open, first)
		l.grant(now, first)
	}
	l.refuseOvertaken(now)
}

func (l *Link) grant(now time.Time, e *Entry) {
	e.reserved = later(now, l.free)
	e.cost = l.cost(e.transfer.size)
	l.free = e.reserved.Add(e.cost)
	l.counts.granted++
	e.decide(Granted)
}

// mayGrant reports whether the first waiting body may be granted. If it is more urgent than bodies
// that are granted and not requested yet, these are overtaken to make room for it.
func (l *Link) mayGrant(now time.Time) bool {
	if l.free.After(now.Add(linkLead)) {
		return false
	}
	requested, unrequested := l.committed(now)
	if requested.bodies > 0 {
		return false
	}
	first := l.waiting[0]
	if slices.ContainsFunc(l.open, func(e *Entry) bool { return e.overtaken && l.need(e).Compare(l.need(first)) <= 0 }) {
		// Otherwise ever more bodies would be granted and overtaken.
		return false
	}
	cost := l.cost(first.transfer.size)
	if unrequested.admits(cost) {
		return true
	}
	return !first.late && l.overtake(unrequested, cost, func(e *Entry) bool {
		return first.transfer.priority.Compare(e.transfer.priority) < 0
	})
}

// commitment is a number of granted bodies and the time that the link needs for them.
type commitment struct {
	bodies int
	cost   time.Duration
}

// add returns the commitment with one more body.
func (c commitment) add(cost time.Duration) commitment {
	return commitment{bodies: c.bodies + 1, cost: c.cost + cost}
}

// admits reports whether a further body may be requested while those of the commitment arrive.
func (c commitment) admits(cost time.Duration) bool {
	return c.bodies == 0 || c.cost+cost <= maxUnrequested
}

// committed returns the granted bodies that have been requested and hold up others, and those that
// may be requested at any time. Together they are one body, or take maxUnrequested at most.
func (l *Link) committed(now time.Time) (requested, unrequested commitment) {
	for _, e := range l.open {
		switch {
		case underWay(e):
			if now.Before(l.overdueAt(e)) {
				requested = requested.add(e.cost)
			}
		case !e.overtaken:
			unrequested = unrequested.add(e.cost)
		}
	}
	return requested, unrequested
}

// overtake marks the least urgent of the bodies that may be requested at any time and that give
// way, until a body may be requested beside the commitment c, which includes them. If all of them
// are not enough, it marks none and returns false.
func (l *Link) overtake(c commitment, cost time.Duration, givesWay func(*Entry) bool) bool {
	var candidates []*Entry
	for _, e := range l.open {
		if !underWay(e) && !e.overtaken && givesWay(e) {
			candidates = append(candidates, e)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Entry) int { return l.need(b).Compare(l.need(a)) })
	for i, e := range candidates {
		c.bodies--
		c.cost -= e.cost
		if c.admits(cost) {
			for _, e := range candidates[:i+1] {
				e.overtaken = true
				l.counts.overtaken++
			}
			return true
		}
	}
	return false
}

// resume requests the overtaken bodies that wait for their turn, as far as the bodies that arrive
// leave room for them, and lets the other overtaken ones be requested at any time again where that
// is possible.
func (l *Link) resume(now time.Time) {
	overtaken := l.overtaken()
	for _, e := range overtaken {
		if e.turn != nil && l.takeTurn(now, e) {
			close(e.turn)
		}
	}
	for _, e := range overtaken {
		requested, unrequested := l.committed(now)
		if e.overtaken && e.turn == nil && requested.bodies == 0 && unrequested.admits(e.cost) {
			e.overtaken = false
		}
	}
}

// takeTurn requests an overtaken body if the bodies that arrive leave room for it. Its request has
// a slot, so bodies that may be requested at any time, and of which the requests have none yet, give
// way to it whatever their urgency.
func (l *Link) takeTurn(now time.Time, e *Entry) bool {
	requested, unrequested := l.committed(now)
	if !requested.admits(e.cost) {
		return false
	}
	all := commitment{bodies: requested.bodies + unrequested.bodies, cost: requested.cost + unrequested.cost}
	if !all.admits(e.cost) {
		l.overtake(all, e.cost, func(*Entry) bool { return true })
	}
	e.overtaken = false
	l.request(now, e)
	return true
}

// request records that a granted body is requested.
func (l *Link) request(now time.Time, e *Entry) {
	if !slices.ContainsFunc(l.open, underWay) {
		l.busySince, l.receivedBytes, l.receivedBodies = now, 0, 0
	}
	e.requested = now
	if missed := missed(now, e); missed > linkLead {
		l.free = later(now, l.free).Add(missed)
	}
}

// overdueAt returns the time until which a body that is under way holds up others.
func (l *Link) overdueAt(e *Entry) time.Time {
	expected := later(e.requested.Add(e.cost), e.progressed).Add(arrivalGrace)
	return earlier(expected, e.requested.Add(maxArrival*e.cost+arrivalGrace))
}

// underWay reports whether the body of an open entry has been requested.
func underWay(e *Entry) bool { return !e.requested.IsZero() }

// awaitsTurn reports whether an overtaken body is to be requested as soon as there is room.
func awaitsTurn(e *Entry) bool { return e.overtaken && e.turn != nil }

func (e *Entry) decide(s State) {
	e.state = s
	close(e.decided)
}
