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
	// unreachableBackoff is how long a backend server that refused a connection is left
	// alone.
	unreachableBackoff = 150 * time.Millisecond
	// coldAfterLoss is how long a backend server counts as cold that ended, unless it
	// is seen back before.
	coldAfterLoss = time.Minute
	// probeTimeout bounds a health check, which waits for a slot.
	probeTimeout = 500 * time.Millisecond
)

// backendStatus is what the daemon has seen of its own backend server.
type backendStatus struct {
	// mu, of rank lock.Calls, guards what follows.
	mu       *lock.Mutex
	instance fleet.Instance
	known    bool
	// avoidUntil is until when the backend server is left alone, and lost says that it
	// has not answered since it was last seen to end.
	avoidUntil time.Time
	lost bool
	// restoredAt is when the data centre was last taken back.
	restoredAt time.Time
	tickTimer     *time.Timer
}

// refreshStatus takes over the published entry of the own backend server: its slots,
// and how long it is cold.
func (a *admission) refreshStatus(now time.Time) {
	if a.config.Load() == nil {
		return
	}
	if i, _, ok := a.fleet.ByAddress(now, a.service, a.address); ok {
		a.updateInstance(now, i)
		a.queue.Resize(now, i.Slots())
	}
	back := a.fleet.RestoredAt(a.centre)
	a.status.mu.Lock()
	returned := back.After(a.status.restoredAt)
	a.status.restoredAt = back
	a.status.mu.Unlock()
	if returned {
		a.setCold(now, back.Add(a.warmup()))
	}
}

func (a *admission) updateInstance(now time.Time, i fleet.Instance) {
	a.status.mu.Lock()
	first := !a.status.known
	restarted := !first && !a.status.instance.SameIncarnation(i)
	chilled := first || a.status.instance.WarmupRemaining() != i.WarmupRemaining() || restarted
	a.status.instance, a.status.known = i, true
	a.status.mu.Unlock()
	if first && a.daemonRestarted {
		a.assumeCold(now)
		return
	}
	cold := i.WarmupRemaining()
	if restarted {
		cold = max(cold, a.warmup())
		a.client.Drop()
		a.events.stateChange("backend server restarted", "instance", i.ID(), "cold", cold.String())
	}
	if chilled && cold > 0 {
		a.setCold(now, now.Add(cold))
	}
}

// serviceConfig returns what operators say of the backend server's service, or
// nothing where no version is known.
func (a *admission) serviceConfig() operator.Service {
	cfg := a.config.Load()
	if cfg == nil {
		return operator.Service{}
	}
	s, _ := cfg.Service(a.service)
	return s
}

func (a *admission) warmup() time.Duration { return a.serviceConfig().WarmupDuration() }

func (a *admission) setCold(now, until time.Time) {
	s := a.serviceConfig()
	if s.WarmupRate() <= 0 {
		return
	}
	a.events.stateChange("backend server cold", "for", until.Sub(now).String(), "rate", s.WarmupRate())
	a.queue.SetCold(now, until, s.WarmupRate())
}

// checkCrash finds out whether the backend server has ended, once an answer was
// lost and no connection to it is left open.
func (a *admission) checkCrash(w *request) {
	err := a.client.Check(context.Background())
	if err == nil {
		return
	}
	now := time.Now()
	a.recordUnreachable(now, err)
	s := requestKey(w)
	a.quarantine.RecordCrash(now, s)
	a.events.request(logs.Refusal, "backend server died", w.id, "customer", s.Customer(), "fingerprint", s.Fingerprint())
	a.reportCrash(s)
}

// recordUnreachable notes that the backend server takes no connection.
func (a *admission) recordUnreachable(now time.Time, err error) {
	a.status.mu.Lock()
	first := !a.status.lost
	a.status.lost = true
	a.status.avoidUntil = now.Add(unreachableBackoff)
	a.status.mu.Unlock()
	if first {
		a.client.Drop()
		a.setCold(now, now.Add(coldAfterLoss))
		a.events.stateChange("backend server unreachable", "error", err.Error())
	}
}

// recordReachable notes that the backend server answered. One that had ended is cold.
func (a *admission) recordReachable(now time.Time) {
	a.status.mu.Lock()
	back := a.status.lost
	a.status.lost = false
	a.status.avoidUntil = time.Time{}
	a.status.mu.Unlock()
	if back {
		a.events.stateChange("backend server is back")
		a.assumeCold(now)
	}
}

// assumeCold has the backend server count as cold, and asks it whether it is.
func (a *admission) assumeCold(now time.Time) {
	if a.warmup() <= 0 || !a.probing.CompareAndSwap(false, true) {
		return
	}
	a.setCold(now, now.Add(a.warmup()))
	go func() {
		defer a.probing.Store(false)
		a.probeHealth()
	}()
}

// probeHealth asks the backend server's health check how long it stays cold. Where it
// does not say, it counts as cold for as long as after a start.
func (a *admission) probeHealth() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req := http1.NewRequest(http.MethodGet, a.serviceConfig().HealthPath(), a.address.String(), http.Header{})
	resp, err := a.client.Do(ctx, req)
	if err != nil {
		a.events.stateChange("health not told", "error", err.Error())
		return
	}
	v := a.protocol.Verdict(resp.Status(), resp.Header())
	a.events.stateChange("health told", "status", resp.Status(), "cold", v.cold.String(), "known", v.coldKnown)
	if now := time.Now(); v.coldKnown {
		a.setCold(now, now.Add(v.cold))
	}
}
