package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/settings"
	"github.com/lycheehead/lycheehead/internal/stop"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// queueDepth is the maximum number of decisions that wait for a worker.
	queueDepth = 4096
	// sweepInterval is the time between removals of expired state.
	sweepInterval = 5 * time.Second
	// drainPollInterval is how often Stop checks whether all calls have ended.
	drainPollInterval = 20 * time.Millisecond
	// initialConcurrency is the number of requests that the gate assumes the backend
	// server can run at once, until the first version sets that number.
	initialConcurrency = 1
)

// ErrCallsRunning is wrapped by the error that Stop returns if calls are still running
// when its time is over.
var ErrCallsRunning = eris.New("calls still running")

// Daemon is the process beside a backend server. Use New to create one, then call Start
// once and, at the end, Close once. The other methods are safe for concurrent use.
type Daemon struct {
	core       *core
	feed       *feed
	replicator *replicator
	ledger     *ledger
	egress     *egress
	dispatcher *dispatcher
	ingress    *ingress
	cancel     context.CancelFunc
	// logOutput is nil or the output of the log, whose state the metrics show.
	logOutput *logs.Writer
	// peersClosed is closed once the other daemons have closed their connections during
	// Stop. It is nil before.
	peersClosed <-chan struct{}
	// applyMu, of rank lock.Config, makes the components apply versions in the order in
	// which the store put them in force.
	applyMu *lock.Mutex
	// monitor notices that the process was stopped or its machine suspended.
	monitor *suspend.Monitor
}

// New creates a daemon from validated settings and opens its peer address, which Close
// releases. The daemon does not answer its peers or read the platform before Start.
func New(s *schema.Settings, id *peerquic.Identity, log hclog.Logger) (*Daemon, error) {
	// The log of the HTTP library is disabled because it does not redact API keys.
	logx.Disable()
	signers, err := settings.Signers(s)
	if err != nil {
		return nil, fmt.Errorf("create daemon: %w", err)
	}
	now := time.Now()
	l := s.GetListen()
	self := peer.NewInstance(s.GetName(), s.GetService(), s.GetCentre(), l.GetPeer(), l.GetCaller()).
		WithVersion(0, uint64(now.UnixNano()))
	members := peer.NewMembers(self)
	mesh, err := peerquic.Listen(l.GetPeer(), id, func(name string) { members.RecordFailure(time.Now(), name) })
	if err != nil {
		return nil, fmt.Errorf("create daemon: %w", err)
	}
	baseCtx, cancel := context.WithCancel(context.Background())
	c := &core{
		self:     self,
		settings: s,
		log:      log,
		metrics:  newMetrics(s.GetName(), s.GetCentre()),
		pool:     workers.New(poolSize(s), queueDepth),
		store:    platform.NewStore[*platform.Config](bundle.Codec{}, signers),
		members:  members,
		mesh:     mesh,
		baseCtx:  baseCtx,
		tasks:    tasks{group: workers.NewGroup()},
		bodies:   stop.NewBodies(),
		//nolint:gosec // no secret
		quarantine: backend.NewQuarantine().WithStagger(rand.Float64()),
	}
	d := &Daemon{
		core:    c,
		cancel:  cancel,
		applyMu: lock.New(lock.Config),
		monitor: suspend.NewMonitor(suspend.Start().Elapsed),
	}
	d.assemble(now)
	return d, nil
}

// SetLogOutput makes the metrics show the state of the output of the log. It must be called
// before Start.
func (d *Daemon) SetLogOutput(out *logs.Writer) { d.logOutput = out }

func poolSize(s *schema.Settings) int {
	if n := int(s.GetWorkers()); n > 0 {
		return n
	}
	return runtime.GOMAXPROCS(0)
}

// assemble creates the components and connects them.
func (d *Daemon) assemble(now time.Time) {
	c := d.core
	d.feed = newFeed(c, now)
	d.ledger = newLedger(c, now)
	lender := d.ledger.lender
	d.replicator = &replicator{
		core:          c,
		feed:          d.feed,
		onPeerVersion: lender.ObserveVersion,
		acknowledged:  lender.Acknowledged,
		onSlotStopped: lender.ObserveStop,
		pendingSlots:  lender.PendingBackends,
	}
	d.feed.replicator = d.replicator
	d.feed.onApplied = d.apply
	d.egress = newEgress(c, d.feed, newGate(c.settings))
	d.dispatcher = &dispatcher{core: c, router: newRouter(c.settings), budget: caller.NewRetryBudget(), egress: d.egress}
	d.ingress = &ingress{core: c, feed: d.feed, ledger: d.ledger, dispatcher: d.dispatcher, egress: d.egress}
}

func newGate(s *schema.Settings) gate {
	if s.GetPolicies().GetGate() == settings.GateOpen {
		return backend.NewGate(backend.UnboundedWindow{})
	}
	return backend.NewGate(backend.NewAdaptiveWindow(initialConcurrency))
}

func newRouter(s *schema.Settings) router {
	if s.GetPolicies().GetRouting() == settings.RoutingRandom {
		return upstream.NewRouter(upstream.Random{}, s.GetName(), s.GetCentre())
	}
	return upstream.NewRouter(upstream.LeastLoaded{}, s.GetName(), s.GetCentre())
}

// apply makes all components apply the version in force.
func (d *Daemon) apply(now time.Time, _ *platform.Config) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	cfg := d.core.config()
	d.ledger.apply(now, cfg)
	d.egress.apply(now, cfg)
	d.dispatcher.router.Sweep(cfg)
	d.core.metrics.setGauge("version", float64(cfg.Number()))
}

// Start starts the background work of the daemon, which runs until Close, and returns
// at once.
func (d *Daemon) Start() {
	d.core.mesh.Serve(d)
	d.feed.start()
	d.core.tasks.start(d.sweep)
	d.core.tasks.start(d.egress.reporter.run)
	d.core.tasks.start(func() { d.monitor.Run(d.core.baseCtx, d.reportPause) })
}

func (d *Daemon) reportPause(paused time.Duration) {
	d.core.log.Warn("process did not run", "took", paused.String())
}

func (d *Daemon) sweep() {
	for d.core.sleep(sweepInterval) {
		now := time.Now()
		d.ledger.sweep(now)
		d.egress.quarantine.Sweep(now)
		d.core.mesh.CloseIdle(now)
		d.updateGauges(now)
	}
}

func (d *Daemon) updateGauges(now time.Time) {
	m := d.core.metrics
	load := d.egress.gate.Load()
	m.setGauge("gate_running", float64(load.Running()))
	m.setGauge("gate_waiting", float64(load.Waiting()))
	m.setGauge("gate_window", float64(load.Window()))
	m.setGauge("claims", float64(d.ledger.claims.Len()))
	m.setGauge("links", float64(d.core.mesh.Connections()))
	traffic := d.core.mesh.Traffic()
	m.setGauge("control_bytes_in", float64(traffic.ControlIn()))
	m.setGauge("control_bytes_out", float64(traffic.ControlOut()))
	m.setGauge("platform_bytes_in", float64(d.feed.client.Bytes()))
	m.setGauge("platform_calls", float64(d.feed.client.Calls()))
	if age, ok := d.feed.confirmedAge(now); ok {
		m.setGauge("confirmed_age_seconds", age.Seconds())
	}
	m.setGauge("paused_seconds", d.monitor.Paused().Seconds())
	if d.logOutput != nil {
		d.logOutput.SetGauges(now, m.setGauge)
	}
}

// Serve handles one request from a caller or from the daemon's own backend server. The
// caller must close the body of the response, if it has one.
func (d *Daemon) Serve(ctx context.Context, c *Call) *Response { return d.ingress.serve(ctx, c) }

// Ready reports whether the daemon accepts requests.
func (d *Daemon) Ready() bool {
	return !d.core.stopping.Load() && d.feed.ready(time.Now())
}

// Bodies returns what ends the reading of request bodies in a planned stop.
func (d *Daemon) Bodies() *stop.Bodies { return d.core.bodies }

// Stopping reports whether a planned stop has begun.
func (d *Daemon) Stopping() bool { return d.core.stopping.Load() }

// Metrics returns the HTTP handler that exposes the metrics.
func (d *Daemon) Metrics() http.Handler { return d.core.metrics.handler }

// Stop is a planned stop of the daemon and of the servers that pass requests to it: new work is
// refused as not run, one peer is notified by gossip, and the requests that the backend server was
// given continue, with the calls that they make. Once none of them is running, or the last
// response is due, the other daemons are asked to close their connections, and the servers are
// shut down. Bodies that are still arriving as the last response is due are refused. The time
// limit counts from the signal to stop, which the process handles now. The error wraps
// ErrCallsRunning if calls were still running when the last response was due.
func (d *Daemon) Stop(limit time.Duration, servers []http1.Server) error {
	plan := stop.NewPlan(d.monitor, limit)
	last, cancelLast := d.monitor.WithDeadline(context.Background(), plan.Last())
	defer cancelLast()
	defer context.AfterFunc(last, d.core.bodies.Refuse)()
	exit, cancelExit := d.monitor.WithDeadline(context.Background(), plan.Exit())
	defer cancelExit()
	d.core.stopping.Store(true)
	d.core.members.Leave()
	d.egress.gate.Close()
	d.core.log.Info("stop", "step", "drain", "delay", plan.Delay().String())
	err := d.drain(last)
	err = errors.Join(err, http1.ShutdownAll(exit, servers))
	if err = errors.Join(err, d.Close()); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// drain waits until no call is running, and then asks the other daemons to close their
// connections once they have read the responses, for which Close waits until ctx ends.
func (d *Daemon) drain(ctx context.Context) error {
	if name, ok := d.replicator.nextPeer(time.Now()); ok {
		d.replicator.gossipWith(name)
	}
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for d.egress.gate.Load().Running() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("drain: %w: %w", ErrCallsRunning, context.Cause(ctx))
		}
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		d.core.mesh.Shutdown(ctx)
	}()
	d.peersClosed = closed
	return nil
}

// Close stops the daemon. Calls that are still running are lost.
func (d *Daemon) Close() error {
	if d.peersClosed != nil {
		<-d.peersClosed
	}
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
