//go:build !race

package sidecar

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/replica"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

var errTestNet = errors.New("no answer")

// messageDelay is the one-way delay of a message between two daemons, and
// retransmitDelay the additional delay of a retransmission.
const (
	messageDelay    = time.Millisecond
	retransmitDelay = 200 * time.Millisecond
)

func (node *testNode) exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sleep(ctx, messageDelay)
	to, state, slow := node.net.target(node, ip)
	if state == retransmitted {
		sleep(ctx, retransmitDelay)
	}
	if state == dropped || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errTestNet
	}
	if state == connectionRefused {
		return nil, errTestNet
	}
	data, err := encodeControl(m)
	if err != nil {
		return nil, err
	}
	in, err := decodeControl(data)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	sleep(ctx, slow)
	out := to.gossiper.handle(now, in)
	sleep(ctx, messageDelay)
	return out, ctx.Err()
}

func (node *testNode) ping(ctx context.Context, ip string) error {
	_, err := node.exchange(ctx, ip, pingTimeout, &schema.Exchange{})
	return err
}

type delivery uint8

const (
	delivered delivery = iota
	retransmitted
	dropped
	connectionRefused
)

func (n *testNet) target(from *testNode, ip string) (to *testNode, d delivery, slow time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, to := range n.nodes {
		if to.name != ip {
			continue
		}
		draw := rand.Float64()
		switch {
		case !to.up:
			return nil, connectionRefused, 0
		case from.cut || to.cut || draw < n.silentRate:
			return nil, dropped, 0
		case draw < n.silentRate+n.lossRate:
			return to, retransmitted, n.processingDelay
		}
		return to, delivered, n.processingDelay
	}
	return nil, dropped, 0
}

func (node *testNode) start() {
	node.net.mu.Lock()
	if node.up {
		node.net.mu.Unlock()
		return
	}
	node.up = true
	node.learnedAt = make(map[string]time.Time)
	node.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	now := time.Now()
	node.out = logs.NewWriter(io.Discard)
	k := newFleetState(node, newEvents(node.out, node.name, node.centre), now)
	f := &storeWatcher{
		fleetState: k, source: node, prefixes: []string{"c/", "i/"}, self: node.name, centre: node.centre,
		ineligiblePeers: table.New[string, time.Time](lock.Members),
	}
	window := customer.NewRateBound(5*time.Second, 0.25, 20)
	s := &gossiper{
		fleetState: k, watcher: f, peers: node, self: node.name, centre: node.centre,
		quarantine: backend.NewQuarantine(), ctx: ctx, pushes: newPushTable(),
	}
	node.limiter = &rateLimiter{
		fleetState: k, peers: node, self: node.name, centre: node.centre, centreCount: node.net.centres,
		quota: customer.NewQuota(window), allocator: customer.NewAllocator(window, true),
		tokenCache: customer.NewTokenCache(), ctx: ctx, newMessage: s.newMessage, receive: s.receive,
		leavingUntil: newLeavingTable(), stopping: f.leaving.Load,
	}
	s.limiter = node.limiter
	s.detector = &failureDetector{
		ctx: ctx, balancer: upstream.NewBalancer(upstream.LatencyCost{}, node.name, node.centre), events: k.events,
		ping: node.ping, isPublished: s.isPublished, broadcast: s.broadcastUnreachable,
	}
	s.limiter.detector = s.detector

	s.seeds.Store(&[]string{})
	f.onStoreLost = s.syncCentre
	k.onChange = func(time.Time) {
		s.otherHosts()
		if s.limiter.membership.Load() == nil {
			defer func() { go s.syncCentre() }()
		}
		s.limiter.updateMembership(time.Now())
		go s.propagate()
	}
	node.gossiper = s
	go f.run(ctx)
	go s.limiter.reportDemand()
	go s.run()
	go s.runHeartbeats()
}

func (node *testNode) kill() {
	node.net.mu.Lock()
	up := node.up
	node.up = false
	node.net.mu.Unlock()
	if up {
		node.cancel()
		node.out.Close()
	}
}

// Decode implements Decoder: i/NAME is an instance, c/N a configuration
// version.
func (node *testNode) Decode(i replica.Item) (Change, error) {
	node.net.mu.Lock()
	node.learnedAt[i.Key()] = time.Now()
	node.net.mu.Unlock()
	kind, name, _ := strings.Cut(i.Key(), "/")
	if kind == "c" {
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return nil, err
		}
		b := operator.NewBuilder(n)
		b.AddCustomer(operator.NewCustomer(testCustomer, nil, 0, testRate, testBurst))
		cfg, err := b.Build()
		return NewConfigChange(cfg), err
	}
	if i.Removed() {
		return NewRemovalChange(name), nil
	}
	ip, centre, _ := strings.Cut(string(i.Value()), " ")
	return NewInstanceChange(fleet.NewInstance(name, "s", centre, fleet.NewAddress(ip, 80), time.Unix(0, 0))), nil
}

// List implements Source.
func (node *testNode) List(ctx context.Context, prefix string, _ bool) ([]replica.Item, uint64, error) {
	items, revision, err := node.read(ctx, 0, 0)
	return slices.DeleteFunc(items, func(i replica.Item) bool { return !strings.HasPrefix(i.Key(), prefix) }), revision, err
}

// Watch implements Source.
func (node *testNode) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]replica.Item, uint64, error) {
	return node.read(ctx, after, wait)
}

func (node *testNode) read(ctx context.Context, after uint64, wait time.Duration) ([]replica.Item, uint64, error) {
	sleep(ctx, 4*time.Millisecond)
	node.net.mu.Lock()
	reachable := node.storeReachable && !node.cut
	node.net.mu.Unlock()
	if !reachable {
		return nil, 0, ErrStoreUnavailable
	}
	return node.net.store.read(ctx, after, wait)
}
