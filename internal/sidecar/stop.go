package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/stop"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

const (
	// defaultGrace is the grace time if the settings state none.
	defaultGrace = 5 * time.Second
	// drainDelay is how long a stopping daemon continues to serve at least, so that
	// callers can detect that it is not ready.
	drainDelay = 2500 * time.Millisecond
	// idleBeforeRefusal is the time without open requests after which the daemon begins
	// to refuse new ones.
	idleBeforeRefusal = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for open requests.
	drainPollInterval = 50 * time.Millisecond
	// closeTimeout bounds Close, which does not wait for open requests.
	closeTimeout = 50 * time.Millisecond
	// logTimeout is how long after closeTimeout the log may be written out. Both lie within
	// the time that a stop.Plan leaves between the last response and the end.
	logTimeout = 100 * time.Millisecond
)

// shutdown is the state of a planned stop. Use newShutdown to create that of a daemon that is
// not stopping.
type shutdown struct {
	monitor *suspend.Monitor
	// plan is set once the daemon is stopping. Its times are those of the monitor's clock.
	plan atomic.Pointer[caller.Shutdown]
	// refusing is set once no more requests of callers are accepted, and backendClosed once
	// no more requests are sent to the backend server.
	refusing, backendClosed atomic.Bool
	// bodies refuses requests whose body is still arriving.
	bodies *stop.Bodies
	// ending ends once all requests that are still open are given up.
	ending context.Context //nolint:containedctx // a state, not a call
	end    context.CancelFunc
}

func newShutdown(m *suspend.Monitor) *shutdown {
	s := &shutdown{monitor: m, bodies: stop.NewBodies()}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// untilEnd returns a copy of the context of a request that also ends when all open requests are given
// up, with the cause errStopping.
func (s *shutdown) untilEnd(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ending, func() { cancel(errStopping) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}

// stopping reports whether the daemon is stopping. Connections are then closed after their
// current request.
func (s *shutdown) stopping() bool { return s.plan.Load() != nil }

// accepts reports whether a request can be answered before the daemon exits. meanRunTime
// returns the mean run time of such requests.
func (s *shutdown) accepts(now time.Time, req *request, meanRunTime func(route string) time.Duration) bool {
	p := s.plan.Load()
	return p == nil || p.Accepts(s.monitor.Clock(now), s.monitor.Clock(req.deadline), meanRunTime(req.route))
}

// mayStart reports whether a request that was accepted may still be sent to an instance. runTime is the
// mean run time of such requests.
func (s *shutdown) mayStart(now time.Time, req *request, runTime time.Duration) bool {
	p := s.plan.Load()
	return p == nil || p.MayStart(s.monitor.Clock(now), s.monitor.Clock(req.deadline), runTime)
}

// Stop ends the daemon within its grace time. The daemon reports that it is not ready, and
// serves what can be answered before its exit until its callers have left. It then sends no
// more requests to its backend server, waits for those that are running, with the calls that
// they lead to, and ends. Requests that would outlast it are refused while they wait, here and at
// other daemons, and those that still run just before the exit have an unknown outcome. The grace
// time counts from the signal, which may have waited while the process did not run, and goes on
// while the machine is suspended.
func (d *Daemon) Stop() error {
	times := stop.NewPlan(d.monitor, cmp.Or(d.currentSettings.Load().GetBounds().GetGrace().AsDuration(), defaultGrace))
	last, noticed := times.Last(), times.Begin().Add(drainDelay)
	plan := caller.NewShutdown(times.Begin(), last, drainDelay)
	d.shutdown.plan.Store(&plan)
	end, cancel := d.monitor.WithDeadline(context.Background(), times.GiveUp())
	defer cancel()
	defer context.AfterFunc(end, d.shutdown.end)()
	withdrawals := newWithdrawals(d, plan)
	d.events.stateChange("stop", "delay", times.Delay().String(), "open", d.openRequests.Load(), "running", d.admission.running.Load())
	// Another daemon has to take over reading the store for the data centre.
	d.watcher.leaving.Store(true)
	d.gossiper.syncCentre()
	d.waitUntil(last, idleBeforeRefusal, func() bool {
		withdrawals.run()
		return !d.monitor.Now().Before(noticed) && d.openRequests.Load() == 0
	})
	d.shutdown.backendClosed.Store(true)
	d.admission.link.link.RefuseWaiting()
	d.admission.queue.SetClosed(true)
	// The calls that the backend server makes for running requests count as open requests.
	d.waitUntil(last, idleBeforeRefusal, func() bool {
		withdrawals.run()
		return d.openRequests.Load() == 0 && d.admission.running.Load() == 0
	})
	withdrawals.run()
	d.shutdown.refusing.Store(true)
	d.shutdown.bodies.Refuse()
	d.events.stateChange("closing", "took", d.monitor.Now().Sub(times.Begin()).String(), "open", d.openRequests.Load(), "running", d.admission.running.Load())
	return d.close(times.Exit())
}

// waitUntil waits until a condition has been true for a duration, at most until end.
func (d *Daemon) waitUntil(end time.Time, duration time.Duration, condition func() bool) {
	since := d.monitor.Now()
	for now := since; now.Before(end); now = d.monitor.Now() {
		switch {
		case !condition():
			since = now
		case now.Sub(since) >= duration:
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// Close ends the daemon at once. Requests that are still open are lost.
func (d *Daemon) Close() error { return d.close(d.monitor.Now().Add(closeTimeout)) }

// close ends the daemon. It waits for open requests until the given time.
func (d *Daemon) close(until time.Time) error {
	errs := []error{shutDown(d, until, d.requestServers)}
	if soon := d.monitor.Now().Add(closeTimeout); soon.Before(until) {
		until = soon
	}
	errs = append(errs, shutDown(d, until, d.otherServers))
	d.cancel()
	d.pool.Close()
	errs = append(errs, d.metrics.close())
	unread, cut := 0, 0
	for _, s := range d.requestServers {
		unread, cut = unread+s.CloseCounts().Unread(), cut+s.CloseCounts().Cut()
	}
	d.events.stateChange("stopped", "open", d.openRequests.Load(), "running", d.admission.running.Load(), "unread", unread, "cut", cut)
	d.out.Close(until.Add(logTimeout).Sub(d.monitor.Now()))
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("close daemon: %w", err)
	}
	return nil
}

// shutDown shuts down servers and waits for their open requests until the given time.
func shutDown[S http1.Server](d *Daemon, until time.Time, servers []S) error {
	ctx, cancel := d.monitor.WithDeadline(context.Background(), until)
	defer cancel()
	return http1.ShutdownAll(ctx, servers) //nolint:wrapcheck // wrapped by the caller
}
