//go:build !race

package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/replica"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

var errTestNet = errors.New("no answer")

const (
	// messageDelay is the one-way delay of a message between two daemons.
	messageDelay = time.Millisecond
	// retransmitDelay is the additional delay of a retransmitted message.
	retransmitDelay = 200 * time.Millisecond
)

func (node *testNode) exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sleep(ctx, messageDelay)
	to, d, processingDelay := node.net.target(node, ip)
	node.net.mu.Lock()
	node.net.messages++
	node.net.mu.Unlock()
	if d == retransmitted {
		sleep(ctx, retransmitDelay)
	}
	if d == dropped || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errTestNet
	}
	if d == connectionRefused {
		return nil, errTestNet
	}
	data, err := encodeControl(m)
	if err != nil {
		return nil, err
	}
	node.net.transmit(ctx, node, len(data))
	if ctx.Err() != nil {
		return nil, errTestNet
	}
	in, err := decodeControl(data)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	sleep(ctx, processingDelay)
	out, transfer := to.gossiper.handle(now, in)
	if transfer != nil {
		defer to.gossiper.transfers.End(transfer)
	}
	if to.centre != node.centre {
		node.net.mu.Lock()
		node.net.crossed += len(in.GetItems()) + len(out.GetItems())
		node.net.mu.Unlock()
	}
	if data, err = encodeControl(out); err != nil {
		return nil, err
	}
	node.net.transmit(ctx, to, len(data))
	sleep(ctx, messageDelay)
	if ctx.Err() != nil {
		return nil, errTestNet
	}
	return decodeControl(data)
}

// sendMessage lets a daemon handle a message that seems to come from another one, and describes
// the answer and how long ago the daemon's replica was confirmed. The position is ERA/REVISION, or
// only REVISION for a message of a daemon that knows no eras.
func (n *testNet) sendMessage(t *testing.T, to, from *testNode, position string, args []string) string {
	m := &schema.Exchange{}
	m.SetFrom(from.ip)
	m.SetAge(0)
	revision := position
	if era, rest, ok := strings.Cut(position, "/"); ok {
		m.SetEra(uint64(atoi(t, era)))
		revision = rest
	}
	m.SetRevision(uint64(atoi(t, revision)))
	for _, arg := range args {
		after, isAfter := strings.CutPrefix(arg, "after=")
		lost, isLost := strings.CutPrefix(arg, "lost=")
		switch {
		case arg == "want":
			m.SetWant(true)
		case arg == "whole":
			m.SetWhole(true)
			m.SetAfter(0)
		case isLost:
			setLostConfig(t, m, lost)
		case isAfter:
			m.SetAfter(uint64(atoi(t, after)))
		default:
			key, rest, _ := strings.Cut(arg, "=")
			value, rev, _ := strings.Cut(rest, "@")
			m.SetItems(append(m.GetItems(), messageItems([]replica.Item{replica.NewItem(key, []byte(value), uint64(atoi(t, rev)))})...))
		}
	}
	answer, transfer := to.gossiper.handle(time.Now(), m)
	if transfer != nil {
		to.gossiper.transfers.End(transfer)
	}
	return fmt.Sprintf("at %s, %d items, whole %t, confirmed %t, ignored %d", messagePosition(answer), len(answer.GetItems()), answer.GetWhole(),
		to.gossiper.age(time.Now()) == 0, to.gossiper.earlierEraMessages.Load())
}

// setLostConfig adds a configuration that the store has lost, VERSION+CONTENT@ERA/REVISION.
func setLostConfig(t *testing.T, m *schema.Exchange, text string) {
	value, position, _ := strings.Cut(text, "@")
	version, content, _ := strings.Cut(value, "+")
	era, revision, _ := strings.Cut(position, "/")
	m.SetLostVersion(uint64(atoi(t, version)))
	m.SetLostEra(uint64(atoi(t, era)))
	m.SetLostRevision(uint64(atoi(t, revision)))
	m.SetConfig(messageItems([]replica.Item{replica.NewItem("c/config", []byte(version+" "+content), m.GetLostRevision())})[0])
}

// transmit waits until the link of a daemon has sent a message, which waits behind those that
// were sent before. The bytes of a message whose sender has given up are sent all the same.
func (n *testNet) transmit(ctx context.Context, from *testNode, size int) {
	n.mu.Lock()
	if n.linkRate == 0 {
		n.mu.Unlock()
		return
	}
	now := time.Now()
	if from.linkFree.Before(now) {
		from.linkFree = now
	}
	n.longestQueue = max(n.longestQueue, from.linkFree.Sub(now))
	from.linkFree = from.linkFree.Add(time.Second * time.Duration(size) / time.Duration(n.linkRate))
	wait := from.linkFree.Sub(now)
	n.mu.Unlock()
	sleep(ctx, wait)
}

func (node *testNode) ping(ctx context.Context, ip string) error {
	_, err := node.exchange(ctx, ip, pingTimeout, &schema.Exchange{})
	return err
}

// delivery is what happens to a message.
type delivery uint8

const (
	delivered delivery = iota
	retransmitted
	dropped
	connectionRefused
)

// target returns the daemon with an address, what happens to a message to it, and the time
// that the daemon takes to process the message.
func (n *testNet) target(from *testNode, ip string) (to *testNode, d delivery, processingDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, to := range n.nodes {
		if to.ip != ip {
			continue
		}
		draw := rand.Float64()
		switch {
		case !to.running:
			return nil, connectionRefused, 0
		case from.partitioned || to.partitioned || draw < n.silentRate,
			from.centre != to.centre && (n.apart[from.centre] || n.apart[to.centre]):
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
	if node.running {
		node.net.mu.Unlock()
		return
	}
	node.running = true
	node.receivedAt = make(map[string]time.Time)
	node.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	now := time.Now()
	node.out = logs.NewWriter(io.Discard)
	state := newFleetState(node, newEvents(node.out, node.ip, node.centre), now)
	watcher := &storeWatcher{
		fleetState: state, source: node, prefixes: []string{"c/", "i/"}, self: node.ip, centre: node.centre,
		ineligiblePeers: table.New[string, time.Time](lock.Members), roster: newRoster(state.fleet, node.ip, node.centre, now),
	}
	rateBound := customer.NewRateBound(5*time.Second, 0.25, 20)
	g := &gossiper{
		fleetState: state, watcher: watcher, peers: node, self: node.ip, centre: node.centre,
		quarantine: backend.NewQuarantine(), ctx: ctx, pushes: newPushTable(), transfers: peer.NewTransfers(maxTransfers),
	}
	node.limiter = &rateLimiter{
		fleetState: state, peers: node, self: node.ip, centre: node.centre, centreCount: node.net.centres,
		quota: customer.NewQuota(rateBound), allocator: customer.NewAllocator(rateBound, true),
		tokenCache: customer.NewTokenCache(), ctx: ctx, newMessage: g.newMessage, receive: g.receive,
		leavingUntil: newLeavingTable(), leaving: watcher.leaving.Load,
	}
	g.limiter = node.limiter
	g.detector = &failureDetector{
		ctx: ctx, balancer: upstream.NewBalancer(upstream.LatencyCost{}, node.ip, node.centre), events: state.events,
		ping: node.ping, isPublished: g.isPublished, broadcast: g.broadcastUnreachable,
		ownPause: func() time.Duration { return 0 },
	}
	g.limiter.detector = g.detector

	g.seeds.Store(&[]string{})
	watcher.onStoreUnreachable, watcher.onTakeover = g.syncCentre, g.syncCentre
	state.onChange = func(time.Time) {
		g.limiter.updateMembership(time.Now())
		g.joinFleet()
		go g.propagate()
	}
	node.gossiper = g
	go watcher.run(ctx)
	go g.limiter.reportDemand()
	go g.run()
	go g.runHeartbeats()
}

func (node *testNode) kill() {
	node.net.mu.Lock()
	wasRunning := node.running
	node.running = false
	node.net.mu.Unlock()
	if wasRunning {
		node.cancel()
		node.out.Close(time.Second)
	}
}

// Decode implements Decoder. The key i/NAME is an instance, c/N a configuration
// version, c/config one whose value is its number and its content, if any, and
// c/evacuate-CENTRE an evacuation.
func (node *testNode) Decode(i replica.Item) (Change, error) {
	node.net.mu.Lock()
	node.receivedAt[i.Key()] = time.Now()
	node.net.mu.Unlock()
	kind, name, _ := strings.Cut(i.Key(), "/")
	if centre, ok := strings.CutPrefix(name, "evacuate-"); ok {
		return NewEvacuationChange(centre, !i.Removed()), nil
	}
	if kind == "c" && i.Removed() {
		return nil, nil //nolint:nilnil // as the decoder of the platform
	}
	content := "health"
	if name == "config" {
		var other string
		if name, other, _ = strings.Cut(string(i.Value()), " "); other != "" {
			content = other
		}
	}
	if kind == "c" {
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return nil, err
		}
		b := operator.NewBuilder(n)
		b.AddService(operator.NewService(testService, "/"+content, 0))
		b.AddCustomer(operator.NewCustomer(testCustomer, nil, 0, float64(node.net.rate), float64(node.net.burst)))
		cfg, err := b.Build()
		return NewConfigChange(cfg), err
	}
	if i.Removed() {
		return NewRemovalChange(name), nil
	}
	f := strings.Fields(string(i.Value()))
	var draining bool
	var start int64
	if len(f) > 3 {
		if draining = f[3] == "draining"; !draining {
			var err error
			if start, err = strconv.ParseInt(f[3], 10, 64); err != nil {
				return nil, err
			}
		}
	}
	return NewInstanceChange(fleet.NewInstance(name, f[2], f[1], fleet.NewAddress(f[0], 80), time.Unix(start, 0)).WithState(draining, 0)), nil
}

// List implements Source.
func (node *testNode) List(ctx context.Context, prefix string, _ bool) ([]replica.Item, replica.Position, error) {
	items, at, err := node.read(ctx, listAll, 0)
	if err == nil {
		err = node.net.store.listError(prefix)
	}
	return slices.DeleteFunc(items, func(i replica.Item) bool { return !strings.HasPrefix(i.Key(), prefix) }), at, err
}

// Watch implements Source.
func (node *testNode) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]replica.Item, replica.Position, error) {
	items, upTo, err := node.read(ctx, after, wait)
	if err == nil {
		err = node.net.store.watchError()
	}
	return items, upTo, err
}

func (node *testNode) read(ctx context.Context, after uint64, wait time.Duration) ([]replica.Item, replica.Position, error) {
	sleep(ctx, 4*time.Millisecond)
	node.net.mu.Lock()
	reachable, old := node.storeReachable && !node.partitioned, node.readsOldCopy
	node.net.mu.Unlock()
	if !reachable {
		return nil, replica.Position{}, ErrStoreUnavailable
	}
	if old {
		return node.net.store.readOldCopy(after)
	}
	return node.net.store.read(ctx, after, wait)
}
