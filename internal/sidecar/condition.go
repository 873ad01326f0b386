package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/operator"
)

const (
	// downFor is how long a backend server that refused a connection is left
	// alone.
	downFor = 150 * time.Millisecond
	// lostCold is how long a backend server counts as cold that ended, unless it
	// is seen back before.
	lostCold = time.Minute
	// probeTimeout bounds a health check, which waits for a slot.
	probeTimeout = 500 * time.Millisecond
)

// sight is what the daemon has seen of its own backend server.
type sight struct {
	// mu, of rank lock.Calls, guards what follows.
	mu       *lock.Mutex
	instance fleet.Instance
	known    bool
	// down is until when the backend server is left alone, and lost says that it
	// has not answered since it was last seen to end.
	down time.Time
	lost bool
	// returned is when the data centre was last taken back.
	returned time.Time
	tick     *time.Timer
}

// observe takes over the published entry of the own backend server: its slots,
// and how long it is cold.
func (a *admission) observe(now time.Time) {
	if a.config.Load() == nil {
		return
	}
	if i, _, ok := a.fleet.ByAddress(now, a.service, a.address); ok {
		a.watchEntry(now, i)
		a.queue.Resize(now, i.Slots())
	}
	back := a.fleet.RestoredAt(a.centre)
	a.own.mu.Lock()
	returned := back.After(a.own.returned)
	a.own.returned = back
	a.own.mu.Unlock()
	if returned {
		a.chill(now, back.Add(a.warmup()))
	}
}

func (a *admission) watchEntry(now time.Time, i fleet.Instance) {
	a.own.mu.Lock()
	first := !a.own.known
	restarted := !first && !a.own.instance.SameIncarnation(i)
	chilled := first || a.own.instance.WarmupRemaining() != i.WarmupRemaining() || restarted
	a.own.instance, a.own.known = i, true
	a.own.mu.Unlock()
	if first && a.restarted {
		a.doubt(now)
		return
	}
	cold := i.WarmupRemaining()
	if restarted {
		cold = max(cold, a.warmup())
		a.client.Drop()
		a.events.belief("backend server restarted", "instance", i.ID(), "cold", cold.String())
	}
	if chilled && cold > 0 {
		a.chill(now, now.Add(cold))
	}
}

// ownService returns what operators say of the backend server's service, or
// nothing where no version is known.
func (a *admission) ownService() operator.Service {
	cfg := a.config.Load()
	if cfg == nil {
		return operator.Service{}
	}
	s, _ := cfg.Service(a.service)
	return s
}

func (a *admission) warmup() time.Duration { return a.ownService().WarmupDuration() }

func (a *admission) chill(now, until time.Time) {
	s := a.ownService()
	if s.WarmupRate() <= 0 {
		return
	}
	a.events.belief("backend server cold", "for", until.Sub(now).String(), "rate", s.WarmupRate())
	a.queue.SetCold(now, until, s.WarmupRate())
}

// inspect finds out whether the backend server has ended, once an answer was
// lost and no connection to it is left open.
func (a *admission) inspect(w *work) {
	err := a.client.Check(context.Background())
	if err == nil {
		return
	}
	now := time.Now()
	a.unreachable(now, err)
	s := suspect(w)
	a.quarantine.RecordCrash(now, s)
	a.events.request(logs.Refusal, "backend server died", w.id, "customer", s.Customer(), "fingerprint", s.Fingerprint())
	a.crashed(s)
}

// unreachable notes that the backend server takes no connection.
func (a *admission) unreachable(now time.Time, err error) {
	a.own.mu.Lock()
	first := !a.own.lost
	a.own.lost = true
	a.own.down = now.Add(downFor)
	a.own.mu.Unlock()
	if first {
		a.client.Drop()
		a.chill(now, now.Add(lostCold))
		a.events.belief("backend server unreachable", "error", err.Error())
	}
}

// seen notes that the backend server answered. One that had ended is cold.
func (a *admission) seen(now time.Time) {
	a.own.mu.Lock()
	back := a.own.lost
	a.own.lost = false
	a.own.down = time.Time{}
	a.own.mu.Unlock()
	if back {
		a.events.belief("backend server is back")
		a.doubt(now)
	}
}

// doubt has the backend server count as cold, and asks it whether it is.
func (a *admission) doubt(now time.Time) {
	if a.warmup() <= 0 || !a.probing.CompareAndSwap(false, true) {
		return
	}
	a.chill(now, now.Add(a.warmup()))
	go func() {
		defer a.probing.Store(false)
		a.probe()
	}()
}

// probe asks the backend server's health check how long it stays cold. Where it
// does not say, it counts as cold for as long as after a start.
func (a *admission) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req := http1.NewRequest(http.MethodGet, a.ownService().HealthPath(), a.address.String(), http.Header{})
	resp, err := a.client.Do(ctx, req)
	if err != nil {
		a.events.belief("health not told", "error", err.Error())
		return
	}
	v := a.protocol.ResponseMetadata(resp.Status(), resp.Header())
	a.events.belief("health told", "status", resp.Status(), "cold", v.warmupRemaining.String(), "known", v.warmupKnown)
	if now := time.Now(); v.warmupKnown {
		a.chill(now, now.Add(v.warmupRemaining))
	}
}
