//go:build !race

// The race detector of Go 1.26 crashes on large bubbles of testing/synctest
// (SIGSEGV in its StackDepot). With GOMAXPROCS=1 it runs and reports no races
// in this test.

package sidecar

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestSpread runs scripts of changes and faults against fleets of daemons under
// the fake clock of testing/synctest. It prints which running daemons received
// a change later than the bound.
func TestSpread(t *testing.T) {
	datadriven.Walk(t, "testdata/spread", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out string
			synctest.Test(t, func(t *testing.T) { out = runScript(t, d) })
			return out
		})
	})
}

// runScript runs one script. Each line holds a time, a step and its arguments.
func runScript(t *testing.T, d *datadriven.TestData) string {
	var centres string
	var each int
	var bound string
	d.ScanArgs(t, "centres", &centres)
	d.ScanArgs(t, "each", &each)
	d.ScanArgs(t, "bound", &bound)
	maxDelay, err := time.ParseDuration(bound)
	if err != nil {
		t.Fatal(err)
	}
	n := newTestNet(strings.Split(centres, "+"), each)
	defer n.end()
	begin := time.Now()
	var out strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		fields := strings.Fields(line)
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(begin.Add(at)))
		if text := n.do(t, fields[1:], maxDelay); text != "" {
			fmt.Fprintf(&out, "%s: %s\n", line, text)
		}
	}
	return out.String()
}

// testNet is a store and a fleet of daemons that call each other's functions
// instead of a network.
type testNet struct {
	mu    sync.Mutex
	nodes map[string]*testNode
	// lossRate is the fraction of messages that are delayed by a
	// retransmission, and silentRate the fraction of messages that are never
	// answered.
	lossRate, silentRate float64
	// processingDelay is the time that a daemon takes to process a message.
	processingDelay time.Duration
	store           *testStore
	centres         int
	// admittedAt holds the times of the requests that were within the
	// customer's limit.
	admittedAt []time.Time
}

type testNode struct {
	net      *testNet
	name     string
	centre   string
	gossiper *gossiper
	limiter  *rateLimiter
	cancel   context.CancelFunc
	out      *logs.Writer
	// up states that the process runs, storeReachable that it can reach the
	// store, and cut that it is partitioned from the store and all other
	// daemons.
	up, storeReachable, cut bool
	learnedAt               map[string]time.Time
}

func newTestNet(centres []string, each int) *testNet {
	n := &testNet{nodes: make(map[string]*testNode), store: newTestStore(), centres: len(centres)}
	for c, centre := range centres {
		for i := range each {
			n.nodes[fmt.Sprintf("%s%d", centre, i+1)] = &testNode{
				net: n, name: fmt.Sprintf("10.%d.0.%d", c+1, i+1), centre: centre, storeReachable: true,
			}
		}
	}
	for name, node := range n.nodes {
		n.store.put("i/"+name, node.name+" "+node.centre, false)
		node.start()
	}
	return n
}

func (n *testNet) end() {
	for _, node := range n.nodes {
		node.kill()
	}
	synctest.Wait()
}

// do runs one step of a script.
func (n *testNet) do(t *testing.T, step []string, maxDelay time.Duration) string {
	for i, name := range step {
		if centre, _, ok := strings.Cut(name, "!"); ok {
			step[i] = n.owner(t, centre)
		}
		if centre, rank, ok := strings.Cut(name, "#"); ok {
			step[i] = n.reader(t, centre, rank)
		}
	}
	each := func(change func(*testNode)) {
		for _, name := range step[1:] {
			node, ok := n.nodes[name]
			if !ok {
				t.Fatalf("no daemon %q", name)
			}
			n.mu.Lock()
			change(node)
			n.mu.Unlock()
		}
	}
	switch step[0] {
	case "change":
		key := step[1]
		if !strings.Contains(key, "/") {
			key = "c/" + key
		}
		n.store.put(key, "", false)
	case "remove", "publish":
		for _, name := range step[1:] {
			n.store.put("i/"+name, n.nodes[name].name+" "+n.nodes[name].centre, step[0] == "remove")
		}
	case "store":
		n.store.setUnavailable(step[1] == "away")
	case "shut":
		each(func(node *testNode) { node.storeReachable = false })
	case "open":
		each(func(node *testNode) { node.storeReachable = true })
	case "cut":
		each(func(node *testNode) { node.cut = true })
	case "heal":
		each(func(node *testNode) { node.cut = false })
	case "kill":
		for _, name := range step[1:] {
			n.nodes[name].kill()
		}
	case "start":
		for _, name := range step[1:] {
			n.nodes[name].start()
		}
	case "leave":
		for _, name := range step[1:] {
			n.nodes[name].gossiper.watcher.leaving.Store(true)
			n.nodes[name].gossiper.syncCentre()
		}
	case "loss":
		n.setLoss(t, step[1:])
	case "slow":
		d, err := time.ParseDuration(step[1])
		if err != nil {
			t.Fatal(err)
		}
		n.mu.Lock()
		n.processingDelay = d
		n.mu.Unlock()
	case "told":
		return n.checkPropagation(step[1:], maxDelay)
	case "lost":
		return n.checkUnusable(step[1])
	case "ask":
		return n.sendRequests(t, step[1:])
	case "most":
		return n.checkLimit()
	case "calls":
		return n.store.checkCalls(t, step[1])
	case "aged":
		return n.checkAge(maxDelay)
	default:
		t.Fatalf("unknown step %q", step)
	}
	return ""
}

// reader returns the name of the daemon with a given rank among the readers of
// a data centre.
func (n *testNet) reader(t *testing.T, centre, rank string) string {
	i, err := strconv.Atoi(rank)
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range n.nodes {
		if node.centre != centre || !node.up {
			continue
		}
		order := node.gossiper.watcher.readerOrder()
		for name, other := range n.nodes {
			if other.name == order[i] {
				return name
			}
		}
	}
	t.Fatalf("no reader %s in %s", rank, centre)
	return ""
}

// The customer of these scripts and its limit.
const (
	testCustomer = "kunde"
	testRate     = 60
	testBurst    = 30
)

// owner returns the name of the daemon that owns the customer's bucket in a
// data centre.
func (n *testNet) owner(t *testing.T, centre string) string {
	for _, node := range n.nodes {
		if node.centre != centre || !node.up || node.cut {
			continue
		}
		ip := node.limiter.bucketOwner(testCustomer)
		for name, other := range n.nodes {
			if other.name == ip {
				return name
			}
		}
	}
	t.Fatalf("no daemon owns the bucket in %s", centre)
	return ""
}

// sendRequests sends requests. Its arguments are the duration, the rate per
// second, and the data centres or daemons that receive the requests. It returns
// the fractions of requests that were admitted, rejected by reason, and
// delayed.
func (n *testNet) sendRequests(t *testing.T, args []string) string {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		t.Fatal(err)
	}
	rate, err := strconv.Atoi(args[1])
	if err != nil {
		t.Fatal(err)
	}
	var targets []*testNode
	for _, name := range slices.Sorted(maps.Keys(n.nodes)) {
		if node := n.nodes[name]; node.up && (slices.Contains(args[2:], node.centre) || slices.Contains(args[2:], name)) {
			targets = append(targets, node)
		}
	}
	total := int(d.Seconds() * float64(rate))
	counts := make(map[caller.Reason]int)
	delayed := 0
	var wg sync.WaitGroup
	for i := range total {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			begin := time.Now()
			reason, _ := targets[i%len(targets)].limiter.allow(ctx, testCustomer)
			n.mu.Lock()
			defer n.mu.Unlock()
			if time.Since(begin) > delayedThreshold {
				delayed++
			}
			counts[reason]++
			if reason == caller.ReasonNone {
				n.admittedAt = append(n.admittedAt, time.Now())
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	tenths := func(number int) int { return (10*number + total/2) / total }
	return fmt.Sprintf("tenths passed %d, over %d, unknown %d, held %d", tenths(counts[caller.ReasonNone]),
		tenths(counts[caller.ReasonRateLimited]), tenths(counts[caller.ReasonLimitUnknown]), tenths(delayed))
}

// delayedThreshold is the time from which a request counts as delayed by its
// limit.
const delayedThreshold = 50 * time.Millisecond

// checkLimit reports whether the bound of the limit held in every window of its
// length.
func (n *testNet) checkLimit() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	const window = 5 * time.Second
	allowed := (testRate*window.Seconds()+testBurst)*1.25 + 20
	peak, first := 0, 0
	for last, at := range n.admittedAt {
		for at.Sub(n.admittedAt[first]) >= window {
			first++
		}
		peak = max(peak, last-first+1)
	}
	if float64(peak) > allowed {
		return fmt.Sprintf("%d of %g in a span", peak, allowed)
	}
	return "within the bound"
}

func (n *testNet) setLoss(t *testing.T, args []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, p := range []*float64{&n.lossRate, &n.silentRate} {
		v, err := strconv.ParseFloat(args[i], 64)
		if err != nil {
			t.Fatal(err)
		}
		*p = v
	}
}

// checkPropagation returns which daemons that run and are not partitioned
// received a change later than the bound, or not at all.
func (n *testNet) checkPropagation(keys []string, maxDelay time.Duration) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var late []string
	for _, key := range keys {
		for name, node := range n.nodes {
			at, ok := node.learnedAt[key]
			took := at.Sub(n.store.changedAt(key))
			switch {
			case !node.up || node.cut:
			case !ok:
				late = append(late, fmt.Sprintf("%s did not receive %s", name, key))
			case took > maxDelay:
				late = append(late, fmt.Sprintf("%s received %s after %s", name, key, took.Round(time.Millisecond)))
			}
		}
	}
	if len(late) == 0 {
		return "all in time"
	}
	slices.Sort(late)
	return strings.Join(late, "; ")
}

// checkUnusable returns which daemons currently consider an instance gone.
func (n *testNet) checkUnusable(id string) string {
	var names []string
	for name, node := range n.nodes {
		if _, usable, ok := node.gossiper.fleet.Get(time.Now(), id); ok && !usable {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return fmt.Sprintf("gone at %v", names)
}

// checkAge returns which daemons have a replica that was last confirmed to be
// current longer than the bound ago, or in the future.
func (n *testNet) checkAge(maxAge time.Duration) string {
	var names []string
	for name, node := range n.nodes {
		if age := node.gossiper.age(time.Now()); node.up && (age > maxAge || age < 0) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return fmt.Sprintf("old at %v", names)
}
