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
	ctx      context.Context //nolint:containedctx // the daemon's own, for work in the background
	balancer *upstream.Balancer[upstream.LatencyCost]
	events   *events
	// ping asks a daemon whether it is running, isPublished reports whether it
	// may still be, and broadcast tells the other daemons of the data centre
	// that one does not answer.
	ping        func(ctx context.Context, ip string) error
	isPublished func(ip string) bool
	broadcast   func(ip string)
}

// reportFailure records that a daemon did not answer.
func (r *failureDetector) reportFailure(ip string) {
	if r.markUnreachable(ip) {
		r.broadcast(ip)
	}
}

// unreachable reports whether a daemon is known not to answer.
func (r *failureDetector) unreachable(ip string) bool { return r.balancer.Unreachable(ip) }

// verify pings a daemon that is reported not to answer, and marks it if it does
// not answer this daemon either.
func (r *failureDetector) verify(ip string) {
	if r.ping(r.ctx, ip) != nil {
		r.markUnreachable(ip)
	}
}

func (r *failureDetector) markUnreachable(ip string) bool {
	if r.ctx.Err() != nil || !r.balancer.MarkUnreachable(ip) {
		return false
	}
	r.events.belief("daemon unreachable", "ip", ip)
	go r.probeUntilReachable(ip)
	return true
}

// probeUntilReachable probes a daemon until it answers or is no longer
// published.
func (r *failureDetector) probeUntilReachable(ip string) {
	begin := time.Now()
	for wait := minProbeInterval; r.ctx.Err() == nil; wait = min(2*wait, maxProbeInterval) {
		sleep(r.ctx, wait)
		if r.ping(r.ctx, ip) == nil || !r.isPublished(ip) {
			break
		}
	}
	r.balancer.MarkReachable(ip)
	r.events.belief("daemon reachable again", "ip", ip, "after", time.Since(begin).String())
}
