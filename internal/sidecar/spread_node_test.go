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

// hop is the time of a message between two daemons, and resend that of a
// retransmission.
const (
	hop    = time.Millisecond
	resend = 200 * time.Millisecond
)

func (node *testNode) exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pause(ctx, hop)
	to, state, slow := node.net.target(node, ip)
	if state == resent {
		pause(ctx, resend)
	}
	if state == dropped || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errTestNet
	}
	if state == refusedAt {
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
	pause(ctx, slow)
	out := to.spreader.answer(now, in)
	pause(ctx, hop)
	return out, ctx.Err()
}

func (node *testNode) ping(ctx context.Context, ip string) error {
	_, err := node.exchange(ctx, ip, pingTimeout, &schema.Exchange{})
	return err
}

type delivery uint8

const (
	delivered delivery = iota
	resent
	dropped
	refusedAt
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
			return nil, refusedAt, 0
		case from.cut || to.cut || draw < n.silent:
			return nil, dropped, 0
		case draw < n.silent+n.loss:
			return to, resent, n.slow
		}
		return to, delivered, n.slow
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
	node.learned = make(map[string]time.Time)
	node.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	now := time.Now()
	node.out = logs.NewWriter(io.Discard)
	k := newKnowledge(node, newEvents(node.out, node.name, node.centre), now)
	f := &follower{
		knowledge: k, source: node, prefixes: []string{"c/", "i/"}, self: node.name, centre: node.centre,
		others: table.New[string, time.Time](lock.Members),
	}
	window := customer.NewRateBound(5*time.Second, 0.25, 20)
	s := &spreader{
		knowledge: k, follower: f, peers: node, self: node.name, centre: node.centre,
		quarantine: backend.NewQuarantine(), ctx: ctx, told: newPushes(),
	}
	node.limits = &limits{
		knowledge: k, peers: node, self: node.name, centre: node.centre, centres: node.net.centres,
		quota: customer.NewQuota(window), shares: customer.NewAllocator(window, true),
		prefetch: customer.NewTokenCache(), ctx: ctx, message: s.message, take: s.take,
		leaving: newLeaving(), stopping: f.leaving.Load,
	}
	s.limits = node.limits
	s.reach = &reach{
		ctx: ctx, placer: upstream.NewBalancer(upstream.LatencyCost{}, node.name, node.centre), events: k.events,
		ping: node.ping, known: s.published, tell: s.unreached,
	}
	s.limits.reach = s.reach

	s.seeds.Store(&[]string{})
	f.lost = s.compareCentre
	k.changed = func(time.Time) {
		s.others()
		if s.limits.members.Load() == nil {
			defer func() { go s.compareCentre() }()
		}
		s.limits.observe(time.Now())
		go s.changed()
	}
	node.spreader = s
	go f.run(ctx)
	go s.limits.report()
	go s.run()
	go s.beat()
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

// Decode implements Decoder: i/NAME holds an instance, c/N a version.
func (node *testNode) Decode(i replica.Item) (Change, error) {
	node.net.mu.Lock()
	node.learned[i.Key()] = time.Now()
	node.net.mu.Unlock()
	kind, name, _ := strings.Cut(i.Key(), "/")
	if kind == "c" {
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return nil, err
		}
		d := operator.NewBuilder(n)
		d.AddCustomer(operator.NewCustomer(testCustomer, nil, 0, testRate, testBurst))
		cfg, err := d.Build()
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
	pause(ctx, 4*time.Millisecond)
	node.net.mu.Lock()
	reach := node.reach && !node.cut
	node.net.mu.Unlock()
	if !reach {
		return nil, 0, ErrAway
	}
	return node.net.store.read(ctx, after, wait)
}
