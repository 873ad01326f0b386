package sidecar

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// maxBusyExtra is how much longer than usual a daemon is waited for while a link is busy.
// Together with a time-out of 250 ms, a failed daemon is noticed within a second even so.
const maxBusyExtra = 750 * time.Millisecond

// failureDetector tracks which daemons do not answer. It pings an unreachable daemon
// to find out when it answers again, because a request sent for that purpose would
// be delayed.
type failureDetector struct {
	ctx      context.Context //nolint:containedctx // the daemon's context, for background work
	balancer *upstream.Balancer[upstream.LatencyCost]
	events   *events
	// ping returns an error if a daemon does not answer.
	ping func(ctx context.Context, ip string) error
	// isPublished reports whether a host has a published instance, or had one until
	// recently.
	isPublished func(ip string) bool
	// broadcast reports an unreachable daemon to the other daemons of the data centre.
	broadcast func(ip string)
	// links tracks how busy the links of this machine and of others are.
	links *busyLinks
	// ownPause returns for how long this process had not run until just now, zero if it did run.
	ownPause func() time.Duration
}

// busyLinks tracks for how long the links of this machine and of others are busy with bodies. A
// nil busyLinks knows of none.
type busyLinks struct {
	own *linkPacer
	// until is the time until which the link of another machine is busy, by IP address,
	// according to its last report.
	until    *table.Table[string, time.Time]
	patience peer.Patience
	// excused counts how often a daemon answered that had been slow beside a busy link.
	excused atomic.Int64
}

func newBusyLinks(own *linkPacer) *busyLinks {
	return &busyLinks{own: own, until: table.New[string, time.Time](lock.Routes), patience: peer.NewPatience(maxBusyExtra)}
}

// record records the backlog that a daemon has reported.
func (b *busyLinks) record(now time.Time, ip string, backlog time.Duration) {
	switch {
	case b == nil:
	case backlog > 0:
		b.until.Put(ip, now.Add(backlog))
	default:
		b.until.Delete(ip)
	}
}

// sweep removes what is no longer of use.
func (b *busyLinks) sweep(now time.Time) {
	b.until.Sweep(func(_ string, until time.Time) bool { return now.Before(until) })
}

// backlogs returns for how long the link of this machine and that of another one are busy.
func (b *busyLinks) backlogs(now time.Time, ip string) (own, reported time.Duration) {
	if b == nil {
		return 0, 0
	}
	if b.own.limited() {
		own = b.own.link.Backlog(now)
	}
	if until, ok := b.until.Get(ip); ok {
		reported = max(0, until.Sub(now))
	}
	return own, reported
}

// failureOf returns how a daemon failed to answer. ETIMEDOUT is no time-out in this sense: the
// kernel reports it once nothing has been acknowledged for long. Neither is a request that was
// given up after further pings.
func failureOf(err error) peer.Failure {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, errDaemonUnresponsive):
		return peer.Disconnected
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return peer.TimedOut
	}
	return peer.Disconnected
}

// confirm reports whether a daemon is unreachable that did not answer within the usual time-out,
// for the given reason. If this process did not run meanwhile, which makes all others look silent,
// it pings the daemon once more. While a link is busy, it pings the daemon for as long as that
// explains the silence. It returns false if the daemon answers or ctx ends.
func (d *failureDetector) confirm(ctx context.Context, ip string, err error) bool {
	if pause := d.ownPause(); pause > 0 && failureOf(err) == peer.TimedOut {
		d.events.stateChange("daemon slow, own process paused", "ip", ip, "paused", pause.String(), "error", err.Error())
		err = d.ping(ctx, ip)
		if err == nil || localShortage(err) || ctx.Err() != nil {
			return false
		}
	}
	begin := time.Now()
	own, reported := d.links.backlogs(begin, ip)
	if d.links == nil || d.links.patience.Unreachable(failureOf(err), 0, own, reported) {
		return true
	}
	d.events.stateChange("daemon slow, link busy", "ip", ip, "own", own.String(), "reported", reported.String(), "error", err.Error())
	for {
		err = d.ping(ctx, ip)
		if err == nil {
			d.links.excused.Add(1)
		}
		if err == nil || localShortage(err) || ctx.Err() != nil {
			return false
		}
		// The backlogs at the begin count: they have drained by now.
		if d.links.patience.Unreachable(failureOf(err), time.Since(begin), own, reported) {
			return true
		}
	}
}

// reportFailure marks a daemon that did not answer as unreachable. If it was not
// marked before, the other daemons of the data centre are notified.
func (d *failureDetector) reportFailure(ip string, err error) {
	if d.confirm(d.ctx, ip, err) && d.markUnreachable(ip) {
		d.broadcast(ip)
	}
}

// unreachable reports whether a daemon is marked as unreachable.
func (d *failureDetector) unreachable(ip string) bool { return d.balancer.Unreachable(ip) }

// checkReachable pings a daemon that may be unreachable, and marks it if it does not
// answer. The other daemons are not notified.
func (d *failureDetector) checkReachable(ip string) {
	if err := d.ping(d.ctx, ip); err != nil && !localShortage(err) && d.confirm(d.ctx, ip, err) {
		d.markUnreachable(ip)
	}
}

func (d *failureDetector) markUnreachable(ip string) bool {
	if d.ctx.Err() != nil || !d.balancer.MarkUnreachable(ip) {
		return false
	}
	d.events.stateChange("daemon unreachable", "ip", ip)
	d.events.spawn(func() { d.pingUntilReachable(ip) })
	return true
}

// pingUntilReachable pings an unreachable daemon until it answers or is no longer
// published, and then removes the mark.
func (d *failureDetector) pingUntilReachable(ip string) {
	begin := time.Now()
	for late := 0; d.ctx.Err() == nil; {
		since := time.Since(begin)
		if since >= peer.ReturnPeriod {
			late++
		}
		sleep(d.ctx, peer.ProbeInterval(since, late, d.balancer.UnreachableHosts()))
		if d.ping(d.ctx, ip) == nil || !d.isPublished(ip) {
			break
		}
	}
	d.balancer.MarkReachable(ip)
	d.events.stateChange("daemon reachable again", "ip", ip, "after", time.Since(begin).String())
}
