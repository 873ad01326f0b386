package sidecar

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// readerTimeout is the time without a message from a reader of the data centre after which
	// others read the store in its place. Readers send one every heartbeatInterval.
	readerTimeout = 1200 * time.Millisecond
	// takeoverStep is the time by which each further pair of daemons waits longer, so that
	// the first pair can announce that it reads, and maxTakeoverSteps bounds the number of steps.
	// All daemons together have to notice well before a version has to be in force.
	takeoverStep     = 150 * time.Millisecond
	maxTakeoverSteps = 2
	// silentReaderTimeout is the time without a message after which a reader loses its place.
	silentReaderTimeout = 2500 * time.Millisecond
	// takeoverDuration is how long a daemon reads in place of a reader that it did not hear. By
	// then the reader has lost its place, unless its messages were only late.
	takeoverDuration = silentReaderTimeout + 500*time.Millisecond
)

// roster tracks which hosts run a daemon that answers. An entry of the store does not show
// that: its writer may be another one, which may add any number of them. Only daemons that have
// sent a message, or of which one that has done so reports this, become readers and inner
// nodes of the distribution tree.
type roster struct {
	fleet        *fleet.Fleet
	self, centre string
	startedAt    time.Time
	// contacts holds the daemons that were heard or reported, by IP address, and learned is
	// the number of times that one was added.
	contacts *table.Table[string, contact]
	learned  atomic.Uint64
	// readerHeardAt is when a reader of the data centre was last heard, in nanoseconds since
	// startedAt.
	readerHeardAt atomic.Int64
}

// contact is what is known of a daemon.
type contact struct {
	// heardAt is when the daemon was last heard, or first reported.
	heardAt time.Time
	// number is the value of learned when it was added.
	number uint64
	// silent states that the daemon has not answered since.
	silent bool
}

func newRoster(f *fleet.Fleet, self, centre string, now time.Time) *roster {
	return &roster{fleet: f, self: self, centre: centre, startedAt: now, contacts: table.New[string, contact](lock.Members)}
}

// heard records that a message from a daemon was received, and whether it reads the store.
func (r *roster) heard(now time.Time, ip string, reading bool) {
	if ip == r.self {
		return
	}
	r.add(now, ip, true)
	if h, ok := r.fleet.Host(ip); reading && ok && h.Centre() == r.centre {
		r.readerHeardAt.Store(int64(now.Sub(r.startedAt)))
	}
}

// add adds a daemon that was heard or reported.
func (r *roster) add(now time.Time, ip string, heard bool) {
	r.fleet.AddDaemon(ip)
	r.contacts.Update(ip, func(c contact, ok bool) (contact, bool) {
		if !ok {
			c = contact{heardAt: now, number: r.learned.Add(1)}
		}
		if heard {
			c.heardAt, c.silent = now, false
		}
		return c, true
	})
}

// introduce records the daemons that another one reports.
func (r *roster) introduce(now time.Time, ips []string) {
	for _, ip := range ips {
		if ip != r.self && !r.known(ip) {
			r.add(now, ip, false)
		}
	}
}

// introductions returns the daemons of the data centre that answer and were added after the
// given number, and the number of the last one.
func (r *roster) introductions(after uint64) (ips []string, last uint64) {
	last = r.learned.Load()
	if last == after {
		return nil, last
	}
	r.contacts.Each(func(ip string, c contact) {
		if c.number > after && !c.silent {
			ips = append(ips, ip)
		}
	})
	return slices.DeleteFunc(ips, func(ip string) bool {
		h, ok := r.fleet.Host(ip)
		return !ok || h.Centre() != r.centre
	}), last
}

// markSilent records that a daemon does not answer.
func (r *roster) markSilent(ip string) {
	r.contacts.Update(ip, func(c contact, ok bool) (contact, bool) {
		c.silent = true
		return c, ok
	})
}

// known reports whether a host runs a daemon, and present whether it also answers.
func (r *roster) known(ip string) bool {
	_, ok := r.contacts.Get(ip)
	return ok || ip == r.self
}

func (r *roster) present(ip string) bool {
	c, ok := r.contacts.Get(ip)
	return ok && !c.silent || ip == r.self
}

// sinceReader returns the time since a reader of the data centre was last heard.
func (r *roster) sinceReader(now time.Time) time.Duration {
	return now.Sub(r.startedAt) - time.Duration(r.readerHeardAt.Load())
}

// reviewReaders marks those of the readers as silent that were expected to send messages for
// silentReaderTimeout and did not. expected holds since when they are readers; it is updated.
func (r *roster) reviewReaders(now time.Time, readers []string, expected map[string]time.Time) {
	for ip := range expected {
		if !slices.Contains(readers, ip) {
			delete(expected, ip)
		}
	}
	for _, ip := range readers {
		since, ok := expected[ip]
		if !ok {
			expected[ip] = now
			continue
		}
		if c, known := r.contacts.Get(ip); known && now.Sub(since) > silentReaderTimeout && now.Sub(c.heardAt) > silentReaderTimeout {
			r.markSilent(ip)
		}
	}
}

// sweep removes daemons that are no longer published, and returns the others.
func (r *roster) sweep(now time.Time) map[string]bool {
	published := make(map[string]bool)
	for _, h := range r.fleet.Hosts() {
		published[h.IP()] = true
	}
	kept := make(map[string]bool)
	r.contacts.Sweep(func(ip string, c contact) bool {
		kept[ip] = published[ip] || now.Sub(c.heardAt) < unpublishedTTL
		return kept[ip]
	})
	return kept
}

// unpublishedTTL is how long a daemon without a published instance is kept.
const unpublishedTTL = 30 * time.Second
