package bandwidth

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// refuseOvertaken refuses overtaken bodies for which no room comes in time. Their requests may hold
// slots of the backend server or wait for them, and their senders place them elsewhere, or tell
// their callers.
func (l *Link) refuseOvertaken(now time.Time) {
	for {
		overtaken := l.overtaken()
		if len(overtaken) == 0 {
			return
		}
		starts := l.overtakenStarts(now, overtaken)
		i := slices.IndexFunc(overtaken, func(e *Entry) bool { return starts[e].After(l.latestStart(e, nil)) })
		if i < 0 {
			return
		}
		victim, start := overtaken[i], starts[overtaken[i]]
		if alone := l.overtakenStarts(now, []*Entry{victim}); !alone[victim].After(l.latestStart(victim, nil)) {
			// It is late only because of the overtaken bodies ahead of it.
			victim = overtaken[caller.Victim(overtaken[:i+1], l.need)]
		}
		l.withdraw(now, victim, start.Sub(now))
	}
}

// overtaken returns the overtaken bodies in the order in which they are requested: those first
// whose requests have slots.
func (l *Link) overtaken() []*Entry {
	var overtaken []*Entry
	for _, e := range l.open {
		if e.overtaken {
			overtaken = append(overtaken, e)
		}
	}
	slices.SortStableFunc(overtaken, func(a, b *Entry) int {
		if awaitsTurn(a) != awaitsTurn(b) {
			if awaitsTurn(a) {
				return -1
			}
			return 1
		}
		return l.need(a).Compare(l.need(b))
	})
	return overtaken
}

// overtakenStarts estimates when overtaken bodies begin to arrive, given in the order in which they
// are requested: once those that are under way have arrived and, if the request has no slot yet,
// the more urgent ones that are granted or waiting.
func (l *Link) overtakenStarts(now time.Time, overtaken []*Entry) map[*Entry]time.Time {
	var arriving, ahead []*Entry
	for _, e := range l.open {
		switch {
		case underWay(e):
			if now.Before(l.overdueAt(e)) {
				arriving = append(arriving, e)
			}
		case !e.overtaken:
			ahead = append(ahead, e)
		}
	}
	var free time.Time
	slices.SortStableFunc(arriving, func(a, b *Entry) int { return a.requested.Compare(b.requested) })
	for _, e := range arriving {
		free = later(free, e.requested).Add(e.cost)
	}
	free = later(free, now)
	for _, e := range l.waiting {
		if !e.late {
			ahead = append(ahead, e)
		}
	}
	starts := make(map[*Entry]time.Time, len(overtaken))
	for _, e := range overtaken {
		if !awaitsTurn(e) {
			ahead = slices.DeleteFunc(ahead, func(o *Entry) bool {
				first := o.transfer.priority.Compare(e.transfer.priority) < 0
				if first {
					free = free.Add(l.cost(o.transfer.size))
				}
				return first
			})
		}
		starts[e] = free
		free = free.Add(l.cost(e.transfer.size))
	}
	return starts
}

// withdraw refuses a granted body that has not been requested, and returns its capacity.
func (l *Link) withdraw(now time.Time, e *Entry, wait time.Duration) {
	l.open = slices.DeleteFunc(l.open, func(o *Entry) bool { return o == e })
	l.returnUnused(now, e, e.transfer.size)
	e.state, e.wait = Refused, wait
	l.counts.refused++
	close(e.withdrawn)
	if e.turn != nil {
		close(e.turn)
	}
}

// missed returns how much of the time that is reserved for a granted body has passed before it was
// requested.
func missed(now time.Time, e *Entry) time.Duration {
	return max(0, min(now.Sub(e.reserved), e.cost))
}
