package daemon

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/settings"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// queueDepth is how many decisions may wait for a worker.
	queueDepth = 4096
	// sweepEvery is the time between two rounds of forgetting.
	sweepEvery = 5 * time.Second
	// drainCheck is how often a stop looks whether all calls have ended.
	drainCheck = 20 * time.Millisecond
	// firstSlots is the size of the gate before a version tells the slots.
	firstSlots = 1
)

// ErrBusy says that calls still ran when a stop's bound had passed.
var ErrBusy = eris.New("calls still run")

// Daemon is the process in a backend server's slot. Make one with New.
type Daemon struct {
	core       *core
	feed       *feed
	spread     *spread
	ledger     *ledger
	egress     *egress
	dispatcher *dispatcher
	ingress    *ingress
	cancel     context.CancelFunc
	// adopting, of rank lock.Config, keeps versions from being taken over in
	// another order than they were put in force.
	adopting *lock.Mutex
}

// New makes a daemon of checked settings and opens its address for other
// daemons. Start lets it work.
func New(s *schema.Settings, id *peerquic.Identity, log hclog.Logger) (*Daemon, error) {
	// The log of the HTTP library knows nothing of keys: what it wrote would have
	// to be searched for them.
	logx.Disable()
	signers, err := settings.Signers(s)
	if err != nil {
		return nil, fmt.Errorf("make daemon: %w", err)
	}
	now := time.Now()
	l := s.GetListen()
	self := peer.NewInstance(s.GetName(), s.GetService(), s.GetCentre(), l.GetPeer(), l.GetCaller()).
		WithVersion(0, uint64(now.UnixNano()))
	members := peer.NewMembers(self)
	mesh, err := peerquic.Listen(l.GetPeer(), id, func(name string) { members.RecordFailure(time.Now(), name) })
	if err != nil {
		return nil, fmt.Errorf("make daemon: %w", err)
	}
	quit, cancel := context.WithCancel(context.Background())
	c := &core{
		self:     self,
		settings: s,
		log:      log,
		metrics:  newMetrics(s.GetName(), s.GetCentre()),
		pool:     workers.New(poolSize(s), queueDepth),
		store:    platform.NewStore[*platform.Config](bundle.Codec{}, signers),
		members:  members,
		mesh:     mesh,
		quit:     quit,
		tasks:    tasks{group: workers.NewGroup()},
	}
	d := &Daemon{core: c, cancel: cancel, adopting: lock.New(lock.Config)}
	d.assemble(now)
	return d, nil
}

func poolSize(s *schema.Settings) int {
	if n := int(s.GetWorkers()); n > 0 {
		return n
	}
	return runtime.GOMAXPROCS(0)
}

// assemble makes the parts and joins them.
func (d *Daemon) assemble(now time.Time) {
	c := d.core
	d.feed = newFeed(c, now)
	d.ledger = newLedger(c, now)
	lender := d.ledger.lender
	d.spread = &spread{
		core:    c,
		feed:    d.feed,
		heard:   lender.ObserveVersion,
		cleared: lender.Acknowledged,
		gone:    lender.ObserveStop,
		awaited: lender.PendingSlots,
	}
	d.feed.spread = d.spread
	d.feed.applied = d.adopt
	d.egress = newEgress(c, d.feed, newGate(c.settings))
	d.dispatcher = &dispatcher{core: c, router: newRouter(c.settings), budget: caller.NewRetryBudget(), egress: d.egress}
	d.ingress = &ingress{core: c, feed: d.feed, ledger: d.ledger, dispatcher: d.dispatcher, egress: d.egress}
}

func newGate(s *schema.Settings) gate {
	if s.GetPolicies().GetGate() == settings.GateOpen {
		return backend.NewGate(backend.UnboundedWindow{})
	}
	return backend.NewGate(backend.NewAdaptiveWindow(firstSlots))
}

func newRouter(s *schema.Settings) router {
	if s.GetPolicies().GetRouting() == settings.RoutingRandom {
		return upstream.NewRouter(upstream.Random{}, s.GetName(), s.GetCentre())
	}
	return upstream.NewRouter(upstream.LeastLoaded{}, s.GetName(), s.GetCentre())
}

// adopt lets all parts take over the version in force.
func (d *Daemon) adopt(now time.Time, _ *platform.Config) {
	d.adopting.Lock()
	defer d.adopting.Unlock()
	cfg := d.core.config()
	d.ledger.adopt(now, cfg)
	d.egress.adopt(now, cfg)
	d.dispatcher.router.Sweep(cfg)
	d.core.metrics.gauge("version", float64(cfg.Number()))
}

// Start lets the daemon work until Stop.
func (d *Daemon) Start() {
	d.core.mesh.Serve(d)
	d.feed.start()
	d.core.tasks.start(d.sweep)
}

func (d *Daemon) sweep() {
	for d.core.pause(sweepEvery) {
		now := time.Now()
		d.ledger.sweep(now)
		d.egress.quarantine.Sweep(now)
		d.core.mesh.CloseIdle(now)
		d.report(now)
	}
}

// report updates the gauges.
func (d *Daemon) report(now time.Time) {
	m := d.core.metrics
	load := d.egress.gate.Load()
	m.gauge("gate_running", float64(load.Running()))
	m.gauge("gate_waiting", float64(load.Waiting()))
	m.gauge("gate_window", float64(load.Window()))
	m.gauge("claims", float64(d.ledger.claims.Len()))
	m.gauge("links", float64(d.core.mesh.Connections()))
	traffic := d.core.mesh.Traffic()
	m.gauge("control_bytes_in", float64(traffic.ControlIn()))
	m.gauge("control_bytes_out", float64(traffic.ControlOut()))
	m.gauge("platform_bytes_in", float64(d.feed.client.Bytes()))
	m.gauge("platform_calls", float64(d.feed.client.Calls()))
	if age, ok := d.feed.age(now); ok {
		m.gauge("confirmed_age_seconds", age.Seconds())
	}
}

// Serve answers one request of a caller, or of the daemon's own backend server.
func (d *Daemon) Serve(ctx context.Context, c *Call) *Answer { return d.ingress.serve(ctx, c) }

// Ready says whether the daemon serves.
func (d *Daemon) Ready() bool {
	return !d.core.stopping.Load() && d.feed.ready(time.Now())
}

// Metrics returns the handler that serves the metrics.
func (d *Daemon) Metrics() http.Handler { return d.core.metrics.handler }

// Drain begins a planned stop: new work is refused as not run, daemons that are
// known are told, and what runs goes on. It returns once nothing runs, or with
// ErrBusy once ctx has ended.
func (d *Daemon) Drain(ctx context.Context) error {
	d.core.stopping.Store(true)
	d.core.members.Leave()
	d.egress.gate.Close()
	d.core.log.Info("stop", "step", "drain")
	if name, ok := d.spread.neighbour(time.Now()); ok {
		d.spread.compare(name)
	}
	t := time.NewTicker(drainCheck)
	defer t.Stop()
	for d.egress.calls.Len() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("drain: %w: %w", ErrBusy, context.Cause(ctx))
		}
	}
	return nil
}

// Close ends the daemon. Calls that still run are lost.
func (d *Daemon) Close() error {
	d.cancel()
	err := d.core.mesh.Close()
	d.core.tasks.wait()
	d.core.pool.Close()
	d.core.metrics.close()
	d.core.log.Info("stop", "step", "closed")
	if err != nil {
		return fmt.Errorf("close daemon: %w", err)
	}
	return nil
}
