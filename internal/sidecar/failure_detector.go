package sidecar

import (
	"context"
	"time"

	"github.com/lycheehead/lycheehead/pkg/upstream"
)

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes
	// of a daemon that did not answer.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = time.Second
)

// failureDetector tracks which daemons do not answer. It uses probes of its own
// to find out whether one answers again, because a request used as a probe
// would be delayed.
type failureDetector struct {
	ctx      context.Context //nolint:containedctx // the daemon's context, for background work
	balancer *upstream.Balancer[upstream.LatencyCost]
	events   *events
	// ping asks a daemon whether it is running, isPublished reports whether it
	// may still be, and broadcast tells the other daemons of the data centre
	// that one does not answer.
	ping        func(ctx context.Context, ip string) error
	isPublished func(ip string) bool
	broadcast   func(ip string)
}

// reportFailure records that a daemon did not answer. If that was not known, it
// also notifies the other daemons of the data centre.
func (d *failureDetector) reportFailure(ip string) {
	if d.markUnreachable(ip) {
		d.broadcast(ip)
	}
}

// unreachable reports whether a daemon is known not to answer.
func (d *failureDetector) unreachable(ip string) bool { return d.balancer.Unreachable(ip) }

// verify pings a daemon that is reported not to answer, and marks it if it does
// not answer this daemon either.
func (d *failureDetector) verify(ip string) {
	if d.ping(d.ctx, ip) != nil {
		d.markUnreachable(ip)
	}
}

func (d *failureDetector) markUnreachable(ip string) bool {
	if d.ctx.Err() != nil || !d.balancer.MarkUnreachable(ip) {
		return false
	}
	d.events.stateChange("daemon unreachable", "ip", ip)
	go d.probeUntilReachable(ip)
	return true
}

// probeUntilReachable probes a daemon until it answers or is no longer
// published.
func (d *failureDetector) probeUntilReachable(ip string) {
	begin := time.Now()
	for wait := minProbeInterval; d.ctx.Err() == nil; wait = min(2*wait, maxProbeInterval) {
		sleep(d.ctx, wait)
		if d.ping(d.ctx, ip) == nil || !d.isPublished(ip) {
			break
		}
	}
	d.balancer.MarkReachable(ip)
	d.events.stateChange("daemon reachable again", "ip", ip, "after", time.Since(begin).String())
}
