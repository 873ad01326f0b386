package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// workerCount is the number of workers. The machines have one core each.
	workerCount = 2
	// workerQueueDepth is the number of decisions that may wait for a worker.
	workerQueueDepth = 4096
	// sweepInterval is the time between two removals of expired state.
	sweepInterval = 2 * time.Second
)

// Daemon is the sidecar process of one backend server. Make one with New.
type Daemon struct {
	settings *schema.Sidecar
	// currentSettings are the settings as last reloaded.
	currentSettings atomic.Pointer[schema.Sidecar]
	knowledge       *knowledge
	follower        *follower
	spreader        *spreader
	limits          *limits
	reach           *reach
	admission       *admission
	ingress         *ingress
	inbound         *inbound
	sender          *sender
	peers           *peers
	pool            *workers.Pool
	metrics         *metrics
	out             *logs.Writer
	events          *events
	servers         []*http1.Server
	cancel          context.CancelFunc
	stopping        atomic.Bool
	// refusing states that the daemon accepts no more requests from callers.
	refusing atomic.Bool
	// openRequests counts the requests from callers that have not been answered yet.
	openRequests atomic.Int64
}

// Platform adapts the daemon to a platform: to its header fields, its store and the
// formats of the store's items.
type Platform struct {
	protocol Protocol
	source   Source
	decoder  Decoder
	prefixes []string
}

// NewPlatform returns a platform. prefixes are the prefixes of the store's keys that
// the daemon follows.
func NewPlatform(p Protocol, s Source, d Decoder, prefixes ...string) Platform {
	return Platform{protocol: p, source: s, decoder: d, prefixes: prefixes}
}

// New returns a daemon with validated settings. firstStart states that the whole fleet
// starts for the first time, so that no earlier process has admitted requests.
func New(s *schema.Sidecar, p Platform, out *logs.Writer, firstStart bool) (*Daemon, error) {
	backendAddr, err := netip.ParseAddrPort(s.GetBackend())
	if err != nil {
		return nil, fmt.Errorf("parse backend address: %w", err)
	}
	inboundAddr, err := netip.ParseAddrPort(s.GetInbound())
	if err != nil {
		return nil, fmt.Errorf("parse inbound address: %w", err)
	}
	controlAddr, err := netip.ParseAddrPort(s.GetControl())
	if err != nil {
		return nil, fmt.Errorf("parse control address: %w", err)
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s,
		pool:     workers.New(workerCount, workerQueueDepth),
		metrics:  newMetrics(),
		out:      out,
		events:   newEvents(out, s.GetName(), s.GetCentre()),
		peers:    newPeers(inboundAddr.Port(), controlAddr.Port()),
		cancel:   cancel,
	}
	d.knowledge = newKnowledge(p.decoder, d.events, now)
	bounds := s.GetBounds()
	window := customer.NewRateBound(bounds.GetQuotaWindow().AsDuration(), bounds.GetQuotaOver(), bounds.GetQuotaSlack())
	d.admission = d.newAdmission(p.protocol, fleet.NewAddress(backendAddr.Addr().String(), backendAddr.Port()))
	d.admission.daemonRestarted = !firstStart
	d.follower = &follower{
		knowledge: d.knowledge,
		source:    p.source,
		prefixes:  p.prefixes,
		self:      inboundAddr.Addr().String(),
		centre:    s.GetCentre(),
		others:    table.New[string, time.Time](lock.Members),
	}
	d.spreader = &spreader{
		knowledge:  d.knowledge,
		follower:   d.follower,
		peers:      d.peers,
		self:       inboundAddr.Addr().String(),
		centre:     s.GetCentre(),
		quarantine: d.admission.quarantine,
		ctx:        ctx,
		told:       newPushes(),
	}
	list := seedHosts(s)
	d.spreader.seeds.Store(&list)
	d.currentSettings.Store(s)
	d.admission.reportCrash = d.spreader.crashed
	d.follower.lost = d.spreader.compareCentre
	balancer := upstream.NewBalancer(upstream.LatencyCost{}, inboundAddr.Addr().String(), s.GetCentre())
	d.reach = &reach{
		ctx: ctx, placer: balancer, events: d.events,
		ping: d.peers.ping, known: d.spreader.published, tell: d.spreader.unreached,
	}
	d.spreader.reach = d.reach
	d.sender = &sender{
		knowledge:    d.knowledge,
		reach:        d.reach,
		self:         inboundAddr.Addr().String(),
		pool:         d.pool,
		balancer:     balancer,
		admission:    d.admission,
		peers:        d.peers,
		resendBudget: caller.NewResendBudget(bounds.GetRetryRatio(), bounds.GetRetrySlack(), bounds.GetRetryWindow().AsDuration()),
		share:        d.spreader.share,
	}
	d.limits = &limits{
		knowledge: d.knowledge,
		peers:     d.peers,
		self:      inboundAddr.Addr().String(),
		centre:    s.GetCentre(),
		centres:   len(s.GetCentres()),
		quota:     customer.NewQuota(window),
		shares:    customer.NewAllocator(window, firstStart),
		prefetch:  customer.NewTokenCache(),
		ctx:       ctx,
		reach:     d.reach,
		message:   d.spreader.message,
		take:      d.spreader.take,
		leaving:   newLeaving(),
		stopping:  d.follower.leaving.Load,
	}
	d.spreader.limits = d.limits
	d.ingress = &ingress{
		knowledge: d.knowledge,
		protocol:  p.protocol,
		pool:      d.pool,
		service:   s.GetService(),
		limits:    d.limits,
		sender:    d.sender,
		metrics:   d.metrics,
		stopping:  d.stopping.Load,
		refusing:  d.refusing.Load,
	}
	d.inbound = &inbound{admission: d.admission}
	d.knowledge.changed = d.storeChanged
	return d, nil
}

func (d *Daemon) newAdmission(p Protocol, address fleet.Address) *admission {
	bounds := d.settings.GetBounds()
	return &admission{
		knowledge:  d.knowledge,
		protocol:   p,
		pool:       d.pool,
		service:    d.settings.GetService(),
		centre:     d.settings.GetCentre(),
		address:    address,
		queue:      backend.NewQueue(backend.NewSlotWindow(initialSlots), backend.NewRateLimiter(bounds.GetColdOver(), bounds.GetColdSlack())),
		client:     http1.NewClient(address.String(), backendDialTimeout, maxIdleBackendConns),
		quarantine: backend.NewQuarantine(),
		status:     &backendStatus{mu: lock.New(lock.Calls)},
	}
}

func seedHosts(s *schema.Sidecar) []string {
	var list []string
	for _, text := range s.GetSeeds() {
		if at, err := netip.ParseAddrPort(text); err == nil {
			list = append(list, at.Addr().String())
		}
	}
	return list
}

// storeChanged propagates a change of the store's copy to the parts of the daemon and
// to other daemons.
func (d *Daemon) storeChanged(now time.Time) {
	if d.limits.members.Load() == nil {
		defer func() { go d.spreader.compareCentre() }()
	}
	d.admission.refreshStatus(now)
	d.spreader.others()
	d.limits.observe(now)
	go d.spreader.changed()
}

// Start opens the addresses and starts the background tasks, which run until Close.
func (d *Daemon) Start() error {
	s := d.settings
	control := http.NewServeMux()
	control.Handle(controlPath, d.spreader)
	control.Handle("/metrics", d.metrics.handler)
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"control", s.GetControl(), control},
		{"inbound", s.GetInbound(), d.inbound},
		{"outbound", s.GetOutbound(), d.countOpen(d.ingress)},
		{"ready", s.GetReady(), http.HandlerFunc(d.serveReady)},
	} {
		server, err := http1.Listen(l.name, l.address, l.handler)
		if err != nil {
			return fmt.Errorf("listen on %s address: %w", l.name, err)
		}
		d.servers = append(d.servers, server)
	}
	go d.follower.run(d.spreader.ctx)
	go d.spreader.run()
	go d.spreader.beat()
	go d.limits.report()
	go d.sweep()
	d.events.stateChange("start", "service", s.GetService(), "backend", s.GetBackend(), "store", s.GetStore())
	return nil
}

func (d *Daemon) countOpen(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.openRequests.Add(1)
		defer d.openRequests.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// Ready states whether the daemon accepts requests from callers.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.knowledge.config.Load() != nil && d.knowledge.fleet.Size() > 0
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *Daemon) sweep() {
	for d.spreader.ctx.Err() == nil {
		pause(d.spreader.ctx, sweepInterval)
		now := time.Now()
		d.knowledge.copy.PurgeTombstones(now)
		d.knowledge.fleet.Sweep(now)
		d.admission.quarantine.Sweep(now)
		d.admission.client.Sweep(now)
		d.admission.refreshStatus(now)
		d.limits.sweep(now)
		d.sender.balancer.Sweep(d.knowledge.fleet.IDs())
		keep := make(map[string]bool)
		for _, h := range d.spreader.others() {
			keep[h.IP()] = true
		}
		d.peers.sweep(now, keep)
		d.updateGauges(now)
	}
}

func (d *Daemon) updateGauges(now time.Time) {
	running, waiting, limit, mean := d.admission.queue.Load()
	d.metrics.gauge("running", float64(running))
	d.metrics.gauge("waiting", float64(waiting))
	d.metrics.gauge("limit", float64(limit))
	d.metrics.gauge("work_seconds", mean.Seconds())
	d.metrics.gauge("copy_age_seconds", d.knowledge.age(now).Seconds())
	d.metrics.gauge("copy_revision", float64(d.knowledge.copy.Revision()))
	d.metrics.gauge("instances", float64(d.knowledge.fleet.Size()))
	d.metrics.gauge("log_lines_dropped", float64(d.out.Dropped()))
	if cfg := d.knowledge.config.Load(); cfg != nil {
		d.metrics.gauge("version", float64(cfg.Version()))
	}
}
