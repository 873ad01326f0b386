package bandwidth

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// acceptShare is the share of the time that a body may wait that it is expected to wait at
// most when it is accepted. The rest absorbs errors of the estimate, so that few bodies are
// refused after they have waited.
const acceptShare = 0.9

// sort brings the waiting bodies into the order in which they are granted: those that can meet
// their objective first.
func (l *Link) sort(now time.Time) {
	start := later(now, l.free)
	for _, e := range l.waiting {
		e.late = !e.transfer.priority.Nested() && !l.need(e).MeetsObjective(start)
	}
	slices.SortStableFunc(l.waiting, func(a, b *Entry) int {
		if a.late != b.late {
			if b.late {
				return -1
			}
			return 1
		}
		return l.need(a).Compare(l.need(b))
	})
}

// refuseHopeless refuses the bodies that would be too late even if they were granted next.
func (l *Link) refuseHopeless(now time.Time, fresh *Entry) {
	start := later(now, l.free)
	for i := 0; i < len(l.waiting); {
		if start.After(l.latestStart(l.waiting[i], fresh)) {
			l.refuse(i, start.Sub(now))
			continue
		}
		i++
	}
}

// refuseLate refuses bodies until no other would be too late.
func (l *Link) refuseLate(now time.Time, fresh *Entry) {
	for {
		start := later(now, l.free)
		i := slices.IndexFunc(l.waiting, func(e *Entry) bool {
			if start.After(l.latestStart(e, fresh)) {
				return true
			}
			start = start.Add(l.cost(e.transfer.size))
			return false
		})
		if i < 0 {
			return
		}
		// A body that is late is no reason to refuse one that is not.
		first := 0
		if l.waiting[i].late {
			first = slices.IndexFunc(l.waiting, func(e *Entry) bool { return e.late })
		}
		l.refuse(first+caller.Victim(l.waiting[first:i+1], l.need), start.Sub(now))
	}
}

// refuse refuses the waiting body with the given index.
func (l *Link) refuse(i int, wait time.Duration) {
	e := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	e.wait = wait
	l.counts.refused++
	e.decide(Refused)
}

// latestStart returns the time by which a body must be granted. A body is accepted if it is
// expected to meet its objective, or to wait for a small part of the time to its deadline: a
// longer queue would make all requests late without serving more of them. Once it has waited it
// is kept up to its deadline.
func (l *Link) latestStart(e, fresh *Entry) time.Time {
	t := e.transfer
	before := t.after + l.cost(t.size)
	latest := t.deadline.Add(-before)
	if e != fresh {
		return latest
	}
	wait := latest.Sub(e.submitted)
	if !t.priority.Nested() {
		wait = min(wait, max(t.objective.Add(-before).Sub(e.submitted), time.Duration(float64(wait)*caller.LateWaitShare)))
	}
	if wait > 0 {
		wait = time.Duration(float64(wait) * acceptShare)
	}
	return e.submitted.Add(wait)
}

// estimateWait estimates the time until a waiting body is granted.
func (l *Link) estimateWait(now time.Time, e *Entry) time.Duration {
	wait := later(now, l.free).Sub(now)
	for _, o := range l.waiting {
		if o == e {
			break
		}
		wait += l.cost(o.transfer.size)
	}
	return wait
}

// need returns the need of a body of the link.
func (l *Link) need(e *Entry) caller.Need {
	t := e.transfer
	return caller.NewNeed(t.priority, t.objective.Add(-t.after), t.deadline.Add(-t.after), l.cost(t.size))
}
