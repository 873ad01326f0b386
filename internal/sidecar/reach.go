package sidecar

import (
	"context"
	"time"

	"github.com/lycheehead/lycheehead/pkg/upstream"
)

const (
	// probeFirst and probeLast bound the time between two questions whether a
	// daemon is back that did not answer.
	probeFirst = 100 * time.Millisecond
	probeLast  = time.Second
)

// reach knows which daemons do not answer. Whether one is back is found out by
// questions of its own, not by requests, which would be held up.
type reach struct {
	ctx    context.Context //nolint:containedctx // the daemon's own, for work in the background
	placer *upstream.Balancer[upstream.LatencyCost]
	events *events
	// ping asks a daemon whether it is there, known says whether it may still be,
	// and tell tells the others of the data centre that one does not answer.
	ping  func(ctx context.Context, ip string) error
	known func(ip string) bool
	tell  func(ip string)
}

// lost notes that a daemon did not answer.
func (r *reach) lost(ip string) {
	if r.note(ip) {
		r.tell(ip)
	}
}

// unreached says whether a daemon is known not to answer.
func (r *reach) unreached(ip string) bool { return r.placer.Unreachable(ip) }

// told takes in another's word that a daemon does not answer it.
func (r *reach) told(ip string) {
	if r.ping(r.ctx, ip) != nil {
		r.note(ip)
	}
}

func (r *reach) note(ip string) bool {
	if r.ctx.Err() != nil || !r.placer.MarkUnreachable(ip) {
		return false
	}
	r.events.stateChange("daemon unreached", "ip", ip)
	go r.probe(ip)
	return true
}

// probe asks until the daemon answers or is no longer published.
func (r *reach) probe(ip string) {
	begin := time.Now()
	for wait := probeFirst; r.ctx.Err() == nil; wait = min(2*wait, probeLast) {
		pause(r.ctx, wait)
		if r.ping(r.ctx, ip) == nil || !r.known(ip) {
			break
		}
	}
	r.placer.MarkReachable(ip)
	r.events.stateChange("daemon reached again", "ip", ip, "after", time.Since(begin).String())
}
