package sidecar

import (
	"context"
	"time"

	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

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
}

// reportFailure marks a daemon that did not answer as unreachable. If it was not
// marked before, the other daemons of the data centre are notified.
func (d *failureDetector) reportFailure(ip string) {
	if d.markUnreachable(ip) {
		d.broadcast(ip)
	}
}

// unreachable reports whether a daemon is marked as unreachable.
func (d *failureDetector) unreachable(ip string) bool { return d.balancer.Unreachable(ip) }

// checkReachable pings a daemon that may be unreachable, and marks it if it does not
// answer. The other daemons are not notified.
func (d *failureDetector) checkReachable(ip string) {
	if err := d.ping(d.ctx, ip); err != nil && !localShortage(err) {
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
