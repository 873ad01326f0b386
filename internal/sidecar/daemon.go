package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// workerCount is the number of workers. The machines have one core each.
	workerCount = 2
	// workerQueueDepth is the maximum number of decisions that wait for a worker.
	workerQueueDepth = 4096
	// sweepInterval is the time between two removals of expired state.
	sweepInterval = 2 * time.Second
	// bodyMemoryDivisor is the part of the machine's memory that the bodies of requests
	// and responses may take at the same time, as a divisor. defaultMemory is used if
	// the settings do not state the memory.
	bodyMemoryDivisor = 8
	defaultMemory     = 128 << 20
)

// requestServer is a server that accepts requests for backend servers.
type requestServer interface {
	http1.Server
	// CloseCounts returns what Shutdown has ended without a response.
	CloseCounts() http1.CloseCounts
}

// Daemon is the sidecar process of one backend server. Use New to create one.
type Daemon struct {
	// settings are the settings at the start.
	settings *schema.Sidecar
	// currentSettings are the settings after the last reload.
	currentSettings atomic.Pointer[schema.Sidecar]
	state           *fleetState
	watcher         *storeWatcher
	gossiper        *gossiper
	limiter         *rateLimiter
	detector        *failureDetector
	admission       *admission
	ingress         *ingress
	inbound         *inbound
	sender          *sender
	waiting         *waitingRequests
	peers           *peerClients
	pool            *workers.Pool
	metrics         *metrics
	out             *logs.Writer
	events          *events
	// requestServers accept the requests of callers and of other daemons.
	requestServers []requestServer
	otherServers   []http1.Server
	cancel         context.CancelFunc
	// budget bounds the memory for bodies.
	budget   *http1.Budget
	shutdown *shutdown
	// openRequests is the number of requests from callers that have not been answered.
	openRequests atomic.Int64
	// monitor notices that the process was stopped or its machine suspended.
	monitor *suspend.Monitor
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
// the daemon replicates.
func NewPlatform(p Protocol, s Source, d Decoder, prefixes ...string) Platform {
	return Platform{protocol: p, source: s, decoder: d, prefixes: prefixes}
}

// New returns a daemon with validated settings. firstStart indicates that the whole fleet
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
	memory := cmp.Or(s.GetMemory(), defaultMemory)
	budget := http1.NewBudget(memory / bodyMemoryDivisor)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s,
		pool:     workers.New(workerCount, workerQueueDepth),
		metrics:  newMetrics(),
		out:      out,
		events:   newEvents(out, s.GetName(), s.GetCentre()),
		peers:    newPeerClients(inboundAddr.Port(), controlAddr.Port(), budget),
		cancel:   cancel,
		budget:   budget,
		monitor:  suspend.NewMonitor(suspend.Start().Elapsed),
	}
	d.shutdown = newShutdown(d.monitor)
	d.waiting = newWaitingRequests()
	d.state = newFleetState(p.decoder, d.events, now)
	bounds := s.GetBounds()
	rateBound := RateBound(bounds)
	d.admission = d.newAdmission(p.protocol, fleet.NewAddress(backendAddr.Addr().String(), backendAddr.Port()))
	d.peers.link = d.admission.link
	d.admission.daemonRestarted = !firstStart
	d.watcher = &storeWatcher{
		fleetState:      d.state,
		source:          p.source,
		prefixes:        p.prefixes,
		self:            inboundAddr.Addr().String(),
		centre:          s.GetCentre(),
		ineligiblePeers: table.New[string, time.Time](lock.Members),
		roster:          newRoster(d.state.fleet, inboundAddr.Addr().String(), s.GetCentre(), now),
	}
	d.gossiper = &gossiper{
		fleetState: d.state,
		watcher:    d.watcher,
		peers:      d.peers,
		self:       inboundAddr.Addr().String(),
		centre:     s.GetCentre(),
		quarantine: d.admission.quarantine,
		waiting:    d.waiting,
		ctx:        ctx,
		pushes:     newPushTable(),
		transfers:  peer.NewTransfers(maxTransfers),
	}
	seeds := seedIPs(s)
	d.gossiper.seeds.Store(&seeds)
	d.currentSettings.Store(s)
	d.admission.reportCrashes = d.gossiper.broadcastCrashes
	d.watcher.onStoreUnreachable = d.gossiper.syncCentre
	d.watcher.onTakeover = d.gossiper.syncCentre
	balancer := upstream.NewBalancer(upstream.LatencyCost{}, inboundAddr.Addr().String(), s.GetCentre())
	d.detector = &failureDetector{
		ctx: ctx, balancer: balancer, events: d.events,
		ping: d.peers.ping, isPublished: d.gossiper.isPublished, broadcast: d.gossiper.broadcastUnreachable,
		links: newBusyLinks(d.admission.link), ownPause: d.monitor.Delay,
	}
	d.gossiper.detector = d.detector
	d.sender = &sender{
		fleetState:   d.state,
		detector:     d.detector,
		self:         inboundAddr.Addr().String(),
		pool:         d.pool,
		balancer:     balancer,
		admission:    d.admission,
		waiting:      d.waiting,
		shutdown:     d.shutdown,
		peers:        d.peers,
		resendBudget: newResendBudget(bounds),
		fleetShare:   d.gossiper.fleetShare,
		shortage:     upstream.NewShortage(),
		metrics:      d.metrics,
	}
	d.limiter = &rateLimiter{
		fleetState:   d.state,
		peers:        d.peers,
		self:         inboundAddr.Addr().String(),
		centre:       s.GetCentre(),
		centreCount:  len(s.GetCentres()),
		unlimited:    rateBound.Unlimited(),
		quota:        customer.NewQuota(rateBound),
		allocator:    customer.NewAllocator(rateBound, firstStart),
		tokenCache:   customer.NewTokenCache(),
		ctx:          ctx,
		detector:     d.detector,
		newMessage:   d.gossiper.newMessage,
		receive:      d.gossiper.receive,
		leavingUntil: newLeavingTable(),
		leaving:      d.watcher.leaving.Load,
	}
	d.gossiper.limiter = d.limiter
	d.ingress = &ingress{
		fleetState: d.state,
		protocol:   p.protocol,
		pool:       d.pool,
		service:    s.GetService(),
		limiter:    d.limiter,
		link:       d.admission.link,
		sender:     d.sender,
		calls:      d.admission.calls,
		machine:    newMachine(backendAddr.Addr(), inboundAddr.Addr()),
		metrics:    d.metrics,
		shutdown:   d.shutdown,
		budget:     budget,
	}
	d.inbound = &inbound{admission: d.admission}
	d.state.onChange = d.storeChanged
	return d, nil
}

func (d *Daemon) newAdmission(p Protocol, address fleet.Address) *admission {
	return &admission{
		fleetState: d.state,
		protocol:   p,
		pool:       d.pool,
		service:    d.settings.GetService(),
		centre:     d.settings.GetCentre(),
		address:    address,
		queue:      backend.NewQueue(backend.NewSlotWindow(initialSlots), newColdLimiter(d.settings.GetBounds())),
		link:       newLinkPacer(d.settings.GetLink(), d.events),
		client:     http1.NewClient(address.String(), backendDialTimeout, maxIdleBackendConns).WithBudget(d.budget),
		budget:     d.budget,
		quarantine: backend.NewQuarantine().WithStagger(rand.Float64()), //nolint:gosec // no secret
		status:     &backendStatus{mu: lock.New(lock.Calls)},
		shutdown:   d.shutdown,
		calls:      newRunningRequests(p),
		waiting:    d.waiting,
		metrics:    d.metrics,
	}
}

const (
	// minRetryWindow is the shortest window of a resend budget.
	minRetryWindow = 10 * time.Nanosecond
	// unlimitedColdOver is the ratio of a cold limit that never applies: no backend server
	// states a rate so low that its product with this ratio is reached.
	unlimitedColdOver = 1e9
)

// newResendBudget returns the budget for the fleet's bound, or one that allows no resends if
// there is no bound.
func newResendBudget(b *schema.Bounds) *caller.ResendBudget {
	window := b.GetRetryWindow().AsDuration()
	if window < minRetryWindow {
		return caller.NewResendBudget(0, 0, minRetryWindow)
	}
	return caller.NewResendBudget(b.GetRetryRatio(), b.GetRetrySlack(), window)
}

// newColdLimiter returns the limit for a cold backend server, or one that never applies if
// there is no bound.
func newColdLimiter(b *schema.Bounds) backend.RateLimiter {
	if !b.HasColdOver() {
		return backend.NewRateLimiter(unlimitedColdOver, unlimitedColdOver)
	}
	return backend.NewRateLimiter(b.GetColdOver(), b.GetColdSlack())
}

// seedIPs returns the IP addresses of the seeds in the settings.
func seedIPs(s *schema.Sidecar) []string {
	var ips []string
	for _, text := range s.GetSeeds() {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			ips = append(ips, addr.Addr().String())
		}
	}
	return ips
}

// storeChanged applies a change of the replica to the parts of the daemon and sends it to
// other daemons.
func (d *Daemon) storeChanged(now time.Time) {
	d.admission.refreshStatus(now)
	d.limiter.updateMembership(now)
	d.gossiper.joinFleet()
	d.events.spawn(d.gossiper.propagate)
}

// Start listens on the daemon's addresses and starts the background tasks, which run
// until Close.
func (d *Daemon) Start() error {
	s := d.settings
	control := http.NewServeMux()
	control.Handle(controlPath, d.admission.link.recordRequests(d.gossiper))
	control.Handle("/metrics", d.metrics.handler)
	ready, err := http1.Listen("ready", s.GetReady(), http.HandlerFunc(d.serveReady))
	if err != nil {
		return fmt.Errorf("listen on ready address: %w", err)
	}
	d.otherServers = append(d.otherServers, ready)
	controlServer, err := http1.ListenPipelined(s.GetControl(), control, d.events.panicked, nil)
	if err != nil {
		return fmt.Errorf("listen on control address: %w", err)
	}
	d.otherServers = append(d.otherServers, controlServer)
	inbound, err := http1.ListenPipelined(s.GetInbound(), d.inbound, d.events.panicked, nil)
	if err != nil {
		return fmt.Errorf("listen on inbound address: %w", err)
	}
	d.requestServers = append(d.requestServers, inbound)
	notice, err := goAwayHeader()
	if err != nil {
		return err
	}
	inbound.SetGoAway(http.StatusServiceUnavailable, notice)
	outbound, err := http1.ListenPipelined(s.GetOutbound(), d.countOpen(d.ingress), d.events.panicked, d.callerLimits)
	if err != nil {
		return fmt.Errorf("listen on outbound address: %w", err)
	}
	d.requestServers = append(d.requestServers, outbound)
	ctx := d.gossiper.ctx
	d.events.spawnLoop(ctx, func() { d.watcher.run(ctx) })
	d.events.spawnLoop(ctx, d.gossiper.run)
	d.events.spawnLoop(ctx, d.gossiper.runHeartbeats)
	d.events.spawnLoop(ctx, d.limiter.reportDemand)
	d.events.spawnLoop(ctx, d.sweep)
	d.events.spawnLoop(ctx, func() { d.monitor.Run(ctx, d.events.paused) })
	d.events.stateChange("start", "service", s.GetService(), "backend", s.GetBackend(), "store", s.GetStore())
	return nil
}

// callerLimits returns the operators' limits for the connections of callers.
func (d *Daemon) callerLimits() http1.ConnLimits {
	cfg := d.state.config.Load()
	if cfg == nil {
		return http1.ConnLimits{}
	}
	l := cfg.Limits()
	return http1.NewConnLimits(l.IdleTimeout(), l.HeaderTimeout(), l.MaxHeaderBytes())
}

// countOpen wraps a handler so that openRequests counts its requests.
func (d *Daemon) countOpen(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.openRequests.Add(1)
		defer d.openRequests.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// Ready reports whether the daemon accepts requests from callers.
func (d *Daemon) Ready() bool {
	return !d.shutdown.stopping() && d.state.config.Load() != nil && d.state.fleet.Size() > 0
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sweep periodically removes expired state and updates the gauges.
func (d *Daemon) sweep() {
	for d.gossiper.ctx.Err() == nil {
		sleep(d.gossiper.ctx, sweepInterval)
		now := time.Now()
		d.state.replica.PurgeTombstones(now)
		d.state.fleet.Sweep(now)
		d.admission.quarantine.Sweep(now)
		d.admission.client.CloseExpired(now)
		d.admission.refreshStatus(now)
		d.limiter.sweep(now)
		d.gossiper.sweep(now)
		d.sender.balancer.Sweep(d.state.fleet.IDs())
		keep := make(map[string]bool)
		for _, h := range d.gossiper.otherHosts() {
			keep[h.IP()] = true
		}
		d.peers.sweep(now, keep)
		d.detector.links.sweep(now)
		d.updateGauges(now)
	}
}

func (d *Daemon) updateGauges(now time.Time) {
	running, waiting, limit, mean := d.admission.queue.Load()
	d.metrics.gauge("running", float64(running))
	d.metrics.gauge("waiting", float64(waiting))
	d.metrics.gauge("limit", float64(limit))
	d.metrics.gauge("work_seconds", mean.Seconds())
	d.metrics.gauge("reserved", float64(d.admission.queue.Reserved(now)))
	d.metrics.gauge("copy_age_seconds", d.state.age(now).Seconds())
	position := d.state.replica.Position()
	d.metrics.gauge("copy_revision", float64(position.Revision()))
	d.metrics.gauge("copy_era", float64(position.Era()))
	d.metrics.gauge("copy_items_missing", float64(d.state.replica.Leftovers()))
	d.metrics.gauge("earlier_era_messages", float64(d.gossiper.earlierEraMessages.Load()))
	d.metrics.gauge("instances", float64(d.state.fleet.Size()))
	d.metrics.gauge("body_bytes", float64(d.budget.Used()))
	d.metrics.gauge("body_bytes_refused", float64(d.budget.Rejected()))
	d.metrics.gauge("bodies_evicted", float64(d.budget.Evicted()))
	d.metrics.gauge("store_items_rejected", float64(d.state.rejectedItems.Load()))
	d.metrics.gauge("paused_seconds", d.monitor.Paused().Seconds())
	d.admission.link.updateGauges(now, d.metrics.gauge)
	d.metrics.gauge("daemons_excused", float64(d.detector.links.excused.Load()))
	d.out.SetGauges(now, d.metrics.gauge)
	if cfg := d.state.config.Load(); cfg != nil {
		d.metrics.customers.sweep(cfg)
		d.metrics.gauge("version", float64(cfg.Version()))
	}
}
