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
	// poolSize is the number of workers; the machines have one core.
	poolSize = 2
	// queueDepth is how many decisions may wait for a worker.
	queueDepth = 4096
	// sweepEvery is the time between two rounds of forgetting.
	sweepEvery = 2 * time.Second
)

// Daemon is the process beside one backend server. Make one with New.
type Daemon struct {
	settings *schema.Sidecar
	// current are the settings as they were last read.
	current   atomic.Pointer[schema.Sidecar]
	state     *fleetState
	watcher   *storeWatcher
	gossiper  *gossiper
	limiter   *rateLimiter
	detector  *failureDetector
	admission *admission
	ingress   *ingress
	inbound   *inbound
	sender    *sender
	peers     *peerClients
	pool      *workers.Pool
	metrics   *metrics
	out       *logs.Writer
	events    *events
	servers   []*http1.Server
	cancel    context.CancelFunc
	stopping  atomic.Bool
	// refusing says that the daemon takes no more requests of callers.
	refusing atomic.Bool
	// open counts the requests of callers that are not yet answered.
	open atomic.Int64
}

// Platform is how the daemon's surroundings speak.
type Platform struct {
	protocol Protocol
	source   Source
	decoder  Decoder
	prefixes []string
}

// NewPlatform returns the translations that a daemon uses, and the prefixes of
// the store's keys that it follows.
func NewPlatform(p Protocol, s Source, d Decoder, prefixes ...string) Platform {
	return Platform{protocol: p, source: s, decoder: d, prefixes: prefixes}
}

// New makes a daemon from checked settings. first says that the whole fleet
// starts for the first time, so that no earlier process has let requests pass.
func New(s *schema.Sidecar, p Platform, out *logs.Writer, first bool) (*Daemon, error) {
	backendAt, err := netip.ParseAddrPort(s.GetBackend())
	if err != nil {
		return nil, fmt.Errorf("backend server's address: %w", err)
	}
	inboundAt, err := netip.ParseAddrPort(s.GetInbound())
	if err != nil {
		return nil, fmt.Errorf("inbound address: %w", err)
	}
	controlAt, err := netip.ParseAddrPort(s.GetControl())
	if err != nil {
		return nil, fmt.Errorf("control address: %w", err)
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s,
		pool:     workers.New(poolSize, queueDepth),
		metrics:  newMetrics(),
		out:      out,
		events:   newEvents(out, s.GetName(), s.GetCentre()),
		peers:    newPeerClients(inboundAt.Port(), controlAt.Port()),
		cancel:   cancel,
	}
	d.state = newFleetState(p.decoder, d.events, now)
	b := s.GetBounds()
	window := customer.NewWindow(b.GetQuotaWindow().AsDuration(), b.GetQuotaOver(), b.GetQuotaSlack())
	d.admission = d.newAdmission(p.protocol, fleet.NewAddress(backendAt.Addr().String(), backendAt.Port()))
	d.admission.restarted = !first
	d.watcher = &storeWatcher{
		fleetState:      d.state,
		source:          p.source,
		prefixes:        p.prefixes,
		self:            inboundAt.Addr().String(),
		centre:          s.GetCentre(),
		ineligiblePeers: table.New[string, time.Time](lock.Members),
	}
	d.gossiper = &gossiper{
		fleetState: d.state,
		watcher:    d.watcher,
		peers:      d.peers,
		self:       inboundAt.Addr().String(),
		centre:     s.GetCentre(),
		quarantine: d.admission.quarantine,
		ctx:        ctx,
		pushes:     newPushTable(),
	}
	list := seeds(s)
	d.gossiper.seeds.Store(&list)
	d.current.Store(s)
	d.admission.crashed = d.gossiper.broadcastCrash
	d.watcher.onStoreLost = d.gossiper.syncCentre
	placer := upstream.NewBalancer(upstream.LatencyCost{}, inboundAt.Addr().String(), s.GetCentre())
	d.detector = &failureDetector{
		ctx: ctx, balancer: placer, events: d.events,
		ping: d.peers.ping, isPublished: d.gossiper.isPublished, broadcast: d.gossiper.broadcastUnreachable,
	}
	d.gossiper.detector = d.detector
	d.sender = &sender{
		fleetState: d.state,
		detector:   d.detector,
		self:       inboundAt.Addr().String(),
		pool:       d.pool,
		placer:     placer,
		admission:  d.admission,
		peers:      d.peers,
		sends:      caller.NewResendBudget(b.GetRetryRatio(), b.GetRetrySlack(), b.GetRetryWindow().AsDuration()),
		share:      d.gossiper.fleetShare,
	}
	d.limiter = &rateLimiter{
		fleetState:   d.state,
		peers:        d.peers,
		self:         inboundAt.Addr().String(),
		centre:       s.GetCentre(),
		centreCount:  len(s.GetCentres()),
		quota:        customer.NewQuota(window),
		allocator:    customer.NewAllocator(window, first),
		tokenCache:   customer.NewTokenCache(),
		ctx:          ctx,
		detector:     d.detector,
		newMessage:   d.gossiper.newMessage,
		receive:      d.gossiper.receive,
		leavingUntil: newLeavingTable(),
		stopping:     d.watcher.leaving.Load,
	}
	d.gossiper.limiter = d.limiter
	d.ingress = &ingress{
		fleetState: d.state,
		protocol:   p.protocol,
		pool:       d.pool,
		service:    s.GetService(),
		limiter:    d.limiter,
		sender:     d.sender,
		metrics:    d.metrics,
		stopping:   d.stopping.Load,
		refusing:   d.refusing.Load,
	}
	d.inbound = &inbound{admission: d.admission}
	d.state.onChange = d.changed
	return d, nil
}

func (d *Daemon) newAdmission(p Protocol, address fleet.Address) *admission {
	b := d.settings.GetBounds()
	return &admission{
		fleetState: d.state,
		protocol:   p,
		pool:       d.pool,
		service:    d.settings.GetService(),
		centre:     d.settings.GetCentre(),
		address:    address,
		queue:      backend.NewQueue(backend.NewSlotWindow(firstSlots), backend.NewRateLimiter(b.GetColdOver(), b.GetColdSlack())),
		client:     http1.NewClient(address.String(), dialBackend, connectionsMost),
		quarantine: backend.NewQuarantine(),
		own:        &sight{mu: lock.New(lock.Calls)},
	}
}

func seeds(s *schema.Sidecar) []string {
	var list []string
	for _, text := range s.GetSeeds() {
		if at, err := netip.ParseAddrPort(text); err == nil {
			list = append(list, at.Addr().String())
		}
	}
	return list
}

// changed lets all parts take over what the store says.
func (d *Daemon) changed(now time.Time) {
	if d.limiter.membership.Load() == nil {
		defer func() { go d.gossiper.syncCentre() }()
	}
	d.admission.observe(now)
	d.gossiper.otherHosts()
	d.limiter.updateMembership(now)
	go d.gossiper.propagate()
}

// Start opens the addresses and lets the daemon work until Close.
func (d *Daemon) Start() error {
	s := d.settings
	control := http.NewServeMux()
	control.Handle(controlPath, d.gossiper)
	control.Handle("/metrics", d.metrics.handler)
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"control", s.GetControl(), control},
		{"inbound", s.GetInbound(), d.inbound},
		{"outbound", s.GetOutbound(), d.counted(d.ingress)},
		{"ready", s.GetReady(), http.HandlerFunc(d.serveReady)},
	} {
		server, err := http1.Listen(l.name, l.address, l.handler)
		if err != nil {
			return fmt.Errorf("serve %s: %w", l.name, err)
		}
		d.servers = append(d.servers, server)
	}
	go d.watcher.run(d.gossiper.ctx)
	go d.gossiper.run()
	go d.gossiper.runHeartbeats()
	go d.limiter.reportDemand()
	go d.sweep()
	d.events.belief("start", "service", s.GetService(), "backend", s.GetBackend(), "store", s.GetStore())
	return nil
}

func (d *Daemon) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.open.Add(1)
		defer d.open.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// Ready says whether callers may come.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.state.config.Load() != nil && d.state.fleet.Size() > 0
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *Daemon) sweep() {
	for d.gossiper.ctx.Err() == nil {
		sleep(d.gossiper.ctx, sweepEvery)
		now := time.Now()
		d.state.replica.PurgeTombstones(now)
		d.state.fleet.Sweep(now)
		d.admission.quarantine.Sweep(now)
		d.admission.client.Sweep(now)
		d.admission.observe(now)
		d.limiter.sweep(now)
		d.sender.placer.Sweep(d.state.fleet.IDs())
		keep := make(map[string]bool)
		for _, h := range d.gossiper.otherHosts() {
			keep[h.IP()] = true
		}
		d.peers.sweep(now, keep)
		d.report(now)
	}
}

// report updates the gauges.
func (d *Daemon) report(now time.Time) {
	running, waiting, limit, work := d.admission.queue.Load()
	d.metrics.gauge("running", float64(running))
	d.metrics.gauge("waiting", float64(waiting))
	d.metrics.gauge("limit", float64(limit))
	d.metrics.gauge("work_seconds", work.Seconds())
	d.metrics.gauge("copy_age_seconds", d.state.age(now).Seconds())
	d.metrics.gauge("copy_revision", float64(d.state.replica.Revision()))
	d.metrics.gauge("instances", float64(d.state.fleet.Size()))
	d.metrics.gauge("log_lines_dropped", float64(d.out.Dropped()))
	if cfg := d.state.config.Load(); cfg != nil {
		d.metrics.gauge("version", float64(cfg.Version()))
	}
}
