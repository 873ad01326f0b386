package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// gossipEvery is the time between two comparisons with a daemon drawn at
	// random, and heartbeatEvery that between two messages of a reader to the
	// daemons that it reads for.
	gossipEvery    = time.Second
	heartbeatEvery = time.Second
	// awayFor is how long a daemon counts as unable to read the store after it
	// said so.
	awayFor = 5 * time.Second
	// gossipAway is the time between two comparisons while this daemon cannot
	// read the store itself.
	gossipAway = 300 * time.Millisecond
	// exchangeMost is the largest control message in bytes.
	exchangeMost = 16 << 20
	// ageUnknown is told where the copy was never known to be current.
	ageUnknown = time.Hour
)

// spreader passes the copy of the store on to other daemons, and what they have
// to know of each other.
type spreader struct {
	*knowledge
	follower   *follower
	peers      exchanger
	self       string
	centre     string
	seeds      atomic.Pointer[[]string]
	limits     *limits
	reach      *reach
	quarantine *backend.Quarantine
	ctx        context.Context //nolint:containedctx // the daemon's own, for work in the background
	// told is what each daemon was told.
	told *table.Table[string, push]
	// following says that changes wait to be passed on by a later reader.
	following atomic.Bool
	// daemons is the number of daemons in the fleet.
	daemons atomic.Int64
}

// share returns this daemon's even share of what the fleet has together.
func (s *spreader) share() float64 { return 1 / float64(max(s.daemons.Load(), 1)) }

// others returns the machines of the other daemons.
func (s *spreader) others() []fleet.Host {
	hosts := s.fleet.Hosts()
	live := 0
	out := hosts[:0]
	for _, h := range hosts {
		if h.Live() {
			live++
		}
		if h.IP() != s.self {
			out = append(out, h)
		}
	}
	s.daemons.Store(int64(max(live, 1)))
	return out
}

// ServeHTTP answers control messages of other daemons.
func (s *spreader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, exchangeMost))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	m, err := decodeControl(data)
	if err != nil {
		http.Error(w, "not a control message", http.StatusBadRequest)
		return
	}
	body, err := encodeControl(s.answer(time.Now(), m))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, http.StatusOK, body)
}

// answer takes in a control message and returns the answer to it.
func (s *spreader) answer(now time.Time, m *schema.Exchange) *schema.Exchange {
	behind := s.take(now, m)
	out := s.message()
	if behind && m.GetWant() {
		s.attach(out, m.GetRevision())
	}
	out.SetShares(s.limits.grant(now, m))
	if m.HasBorrow() {
		out.SetLent(s.limits.serve(now, m.GetBorrow()))
	}
	return out
}

// run compares with other daemons, one at a time, until the daemon ends.
func (s *spreader) run() {
	for s.ctx.Err() == nil {
		every := gossipEvery
		if s.follower.away.Load() {
			every = gossipAway
		}
		pause(s.ctx, every-every/8+time.Duration(rand.Int64N(int64(every/4)))) //nolint:gosec // no secret
		s.gossip()
	}
}

// gossip compares with one daemon drawn at random, of any data centre.
func (s *spreader) gossip() {
	seeds := *s.seeds.Load()
	targets := make([]string, 0, len(seeds))
	for _, h := range s.others() {
		targets = append(targets, h.IP())
	}
	if len(targets) == 0 {
		targets = seeds
	}
	if len(targets) > 0 {
		s.compare(targets[rand.IntN(len(targets))]) //nolint:gosec // no secret
	}
}

// beat keeps the daemons of the data centre sure that their copy is current,
// where this daemon reads the store for them.
func (s *spreader) beat() {
	for s.ctx.Err() == nil {
		pause(s.ctx, heartbeatEvery)
		if s.follower.rank() < 0 || s.toldAge(time.Now()) > staleAfter {
			continue
		}
		s.compareCentre()
	}
}
