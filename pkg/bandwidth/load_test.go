//go:build !lockcheck

// Not built with the lock order check: a replay acquires millions of locks, and the check takes
// some microseconds for each.

package bandwidth_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/bandwidth"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestLoad guards against calls that wait behind bodies. It replays the uploads of a service.
func TestLoad(t *testing.T) {
	datadriven.RunTest(t, "testdata/load", func(t *testing.T, d *datadriven.TestData) string { return newLoad(t, d).run() })
}

// load is a number of links over which uploads arrive, each with a pipe that carries what was
// requested in the order of the requests. Small messages are sent over each link all the time.
type load struct {
	perSecond, burst    float64
	length              time.Duration
	paced               bool
	links               []*loadedLink
	rnd                 *rand.Rand
	start, now          time.Time
	offered, refused    int
	refusedLater        int
	onTime, late, lost  int
	smallWaits, delayed []time.Duration
}

type loadedLink struct {
	link *bandwidth.Link
	// rate is the actual rate in bytes per second, and clearAt the time at which the pipe has
	// delivered everything.
	rate    float64
	clearAt time.Time
	uploads []*upload
}

type upload struct {
	entry *bandwidth.Entry
	size  int
	began time.Time
	begun bool
	// firstAt and arriveAt are the times at which the body begins to arrive and has arrived.
	firstAt, arriveAt time.Time
}

// The uploads of the load pattern: their sizes, work, objective and deadline, and the time
// between two small messages on a link.
const (
	meanUpload      = 60_000
	maxUpload       = 360_000
	uploadWork      = 230 * time.Millisecond
	uploadObjective = 2 * time.Second
	uploadDeadline  = 2500 * time.Millisecond
	smallInterval   = 3 * time.Millisecond
)

// newLoad scans the uploads per second, their number per second for the middle third of the
// time, the links, the rates in Mbit/s that are configured and actual, and the length.
func newLoad(t *testing.T, d *datadriven.TestData) *load {
	var links int
	var mbit, actual float64
	var length, pacing string
	l := &load{rnd: rand.New(rand.NewPCG(1, 2)), start: time.Unix(1_700_000_000, 0)}
	d.ScanArgs(t, "rate", &l.perSecond)
	d.ScanArgs(t, "burst", &l.burst)
	d.ScanArgs(t, "links", &links)
	d.ScanArgs(t, "mbit", &mbit)
	d.ScanArgs(t, "actual", &actual)
	d.ScanArgs(t, "for", &length)
	d.ScanArgs(t, "pacing", &pacing)
	l.length, l.paced, l.now = duration(t, length), pacing == "on", l.start
	configured := mbit * 1e6 / 8
	if !l.paced {
		configured = 0
	}
	for range links {
		l.links = append(l.links, &loadedLink{link: bandwidth.NewLink(configured), rate: actual * 1e6 / 8})
	}
	return l
}

func (l *load) run() string {
	for ; l.now.Sub(l.start) < l.length; l.now = l.now.Add(time.Millisecond) {
		rate := l.perSecond
		if third := l.length / 3; l.now.Sub(l.start) > third && l.now.Sub(l.start) < 2*third {
			rate = l.burst
		}
		if l.rnd.Float64() < rate/1000 {
			l.submit()
		}
		for _, link := range l.links {
			l.advance(link)
		}
	}
	return fmt.Sprintf("%d uploads: %d on time, %d late, %d lost, %d refused at once, %d after a wait\nwait of grants: %s\nwait of small messages: %s\n",
		l.offered, l.onTime, l.late, l.lost, l.refused, l.refusedLater, quantiles(l.delayed), quantiles(l.smallWaits))
}

// submit submits an upload to one link, and to another one if it is refused there.
func (l *load) submit() {
	l.offered++
	u := &upload{size: min(maxUpload, int(l.rnd.ExpFloat64()*meanUpload)), began: l.now}
	first := l.rnd.IntN(len(l.links))
	second := (first + 1 + l.rnd.IntN(len(l.links)-1)) % len(l.links)
	for n, i := range []int{first, second} {
		transfer := bandwidth.NewTransfer(u.size, caller.NewPriority(false, 0, 2), u.began.Add(uploadObjective), u.began.Add(uploadDeadline), uploadWork, n == 0)
		e, state, _ := l.links[i].link.Submit(l.now, transfer)
		if state != bandwidth.Refused {
			u.entry = e
			l.links[i].uploads = append(l.links[i].uploads, u)
			return
		}
	}
	l.refused++
}

func (l *load) advance(link *loadedLink) {
	link.link.Tick(l.now)
	link.uploads = slices.DeleteFunc(link.uploads, func(u *upload) bool {
		state := bandwidth.Granted
		if !u.begun {
			state, _ = link.link.State(u.entry)
		}
		switch {
		case state == bandwidth.Refused:
			l.refusedLater++
			return true
		case state == bandwidth.Granted && !u.begun:
			link.link.Begin(l.now, u.entry)
			u.begun = true
			l.delayed = append(l.delayed, l.now.Sub(u.began))
			if link.clearAt.Before(l.now) {
				link.clearAt = l.now
			}
			transfer := time.Duration(float64(u.size) / link.rate * float64(time.Second))
			link.clearAt = link.clearAt.Add(transfer)
			u.arriveAt = link.clearAt
			u.firstAt = u.arriveAt.Add(-transfer)
		case u.begun && !l.now.Before(u.arriveAt):
			link.link.End(l.now, u.entry, u.size)
			l.answer(l.now.Add(uploadWork).Sub(u.began))
			return true
		case u.begun && l.now.After(u.firstAt):
			link.link.Progress(l.now, u.entry)
		}
		return false
	})
	if l.now.Sub(l.start)%smallInterval == 0 {
		l.smallWaits = append(l.smallWaits, max(0, link.clearAt.Sub(l.now)))
	}
}

func (l *load) answer(took time.Duration) {
	switch {
	case took <= uploadObjective:
		l.onTime++
	case took <= uploadDeadline:
		l.late++
	default:
		l.lost++
	}
}

func quantiles(waits []time.Duration) string {
	slices.Sort(waits)
	at := func(q float64) time.Duration { return waits[int(q*float64(len(waits)-1))].Round(time.Millisecond) }
	return fmt.Sprintf("median %s, 99 %% %s, longest %s", at(0.5), at(0.99), at(1))
}
