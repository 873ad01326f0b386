//go:build !race

// The race detector of Go 1.26 crashes on large bubbles of testing/synctest
// (SIGSEGV in its StackDepot); with GOMAXPROCS=1 it finds nothing here.

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
// a paused clock, and prints which running daemons learned of a change later
// than the bound.
func TestSpread(t *testing.T) {
	datadriven.Walk(t, "testdata/spread", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out string
			synctest.Test(t, func(t *testing.T) { out = runScript(t, d) })
			return out
		})
	})
}

// runScript runs one script: a line each with the instant, what happens, and to
// whom.
func runScript(t *testing.T, d *datadriven.TestData) string {
	var centres string
	var each int
	var bound string
	d.ScanArgs(t, "centres", &centres)
	d.ScanArgs(t, "each", &each)
	d.ScanArgs(t, "bound", &bound)
	most, err := time.ParseDuration(bound)
	if err != nil {
		t.Fatal(err)
	}
	n := newTestNet(strings.Split(centres, "+"), each)
	defer n.end()
	begin := time.Now()
	var out strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		w := strings.Fields(line)
		at, err := time.ParseDuration(w[0])
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(begin.Add(at)))
		if text := n.do(t, w[1:], most); text != "" {
			fmt.Fprintf(&out, "%s: %s\n", line, text)
		}
	}
	return out.String()
}

// testNet is a store and a fleet that is connected by functions.
type testNet struct {
	mu    sync.Mutex
	nodes map[string]*testNode
	// lossRate is the share of messages that are delayed by a retransmission, and
	// silentRate that of messages that are never answered.
	lossRate, silentRate float64
	// processingDelay is how long a daemon takes to take in a message.
	processingDelay time.Duration
	store           *testStore
	centres         int
	// admittedAt are the instants of requests within the customer's limit.
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
	// up says that the process runs, storeReachable that it can storeReachable the store, and
	// cut that no other daemon reaches it.
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
func (n *testNet) do(t *testing.T, w []string, most time.Duration) string {
	for i, name := range w {
		if centre, _, ok := strings.Cut(name, "!"); ok {
			w[i] = n.owner(t, centre)
		}
		if centre, rank, ok := strings.Cut(name, "#"); ok {
			w[i] = n.reader(t, centre, rank)
		}
	}
	each := func(change func(*testNode)) {
		for _, name := range w[1:] {
			node, ok := n.nodes[name]
			if !ok {
				t.Fatalf("no daemon %q", name)
			}
			n.mu.Lock()
			change(node)
			n.mu.Unlock()
		}
	}
	switch w[0] {
	case "change":
		key := w[1]
		if !strings.Contains(key, "/") {
			key = "c/" + key
		}
		n.store.put(key, "", false)
	case "remove", "publish":
		for _, name := range w[1:] {
			n.store.put("i/"+name, n.nodes[name].name+" "+n.nodes[name].centre, w[0] == "remove")
		}
	case "store":
		n.store.setUnavailable(w[1] == "away")
	case "shut":
		each(func(node *testNode) { node.storeReachable = false })
	case "open":
		each(func(node *testNode) { node.storeReachable = true })
	case "cut":
		each(func(node *testNode) { node.cut = true })
	case "heal":
		each(func(node *testNode) { node.cut = false })
	case "kill":
		for _, name := range w[1:] {
			n.nodes[name].kill()
		}
	case "start":
		for _, name := range w[1:] {
			n.nodes[name].start()
		}
	case "leave":
		for _, name := range w[1:] {
			n.nodes[name].gossiper.watcher.leaving.Store(true)
			n.nodes[name].gossiper.syncCentre()
		}
	case "loss":
		n.setLoss(t, w[1:])
	case "slow":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			t.Fatal(err)
		}
		n.mu.Lock()
		n.processingDelay = d
		n.mu.Unlock()
	case "told":
		return n.checkPropagation(w[1:], most)
	case "lost":
		return n.checkUnusable(w[1])
	case "ask":
		return n.sendRequests(t, w[1:])
	case "most":
		return n.checkLimit()
	case "calls":
		return n.store.checkCalls(t, w[1])
	case "aged":
		return n.checkAge(most)
	default:
		t.Fatalf("unknown step %q", w)
	}
	return ""
}

// reader returns the name of a data centre's reader by its rank.
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
	t.Fatalf("no reader %s of %s", rank, centre)
	return ""
}

// The limit of the customer of these scripts.
const (
	testCustomer = "kunde"
	testRate     = 60
	testBurst    = 30
)

// owner returns the name of the daemon that keeps the limit in a data centre.
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
	t.Fatalf("nobody keeps the limit in %s", centre)
	return ""
}

// sendRequests sends requests: for how long, how many a second, and to the daemons of
// which data centres. It says how many passed, and why others did not.
func (n *testNet) sendRequests(t *testing.T, w []string) string {
	d, err := time.ParseDuration(w[0])
	if err != nil {
		t.Fatal(err)
	}
	rate, err := strconv.Atoi(w[1])
	if err != nil {
		t.Fatal(err)
	}
	var to []*testNode
	for _, name := range slices.Sorted(maps.Keys(n.nodes)) {
		if node := n.nodes[name]; node.up && (slices.Contains(w[2:], node.centre) || slices.Contains(w[2:], name)) {
			to = append(to, node)
		}
	}
	total := int(d.Seconds() * float64(rate))
	verdicts := make(map[caller.Reason]int)
	held := 0
	var all sync.WaitGroup
	for i := range total {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			begin := time.Now()
			reason, _ := to[i%len(to)].limiter.allow(ctx, testCustomer)
			n.mu.Lock()
			defer n.mu.Unlock()
			if time.Since(begin) > delayedThreshold {
				held++
			}
			verdicts[reason]++
			if reason == caller.ReasonNone {
				n.admittedAt = append(n.admittedAt, time.Now())
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	all.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	tenths := func(number int) int { return (10*number + total/2) / total }
	return fmt.Sprintf("tenths passed %d, over %d, unknown %d, held %d", tenths(verdicts[caller.ReasonNone]),
		tenths(verdicts[caller.ReasonRateLimited]), tenths(verdicts[caller.ReasonLimitUnknown]), tenths(held))
}

// delayedThreshold is the time from which on a request counts as held up by its limit.
const delayedThreshold = 50 * time.Millisecond

// checkLimit says whether the bound of the limit was kept in any span of its length.
func (n *testNet) checkLimit() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	const length = 5 * time.Second
	allowed := (testRate*length.Seconds()+testBurst)*1.25 + 20
	most, from := 0, 0
	for to, at := range n.admittedAt {
		for at.Sub(n.admittedAt[from]) >= length {
			from++
		}
		most = max(most, to-from+1)
	}
	if float64(most) > allowed {
		return fmt.Sprintf("%d of %g in a span", most, allowed)
	}
	return "within the bound"
}

func (n *testNet) setLoss(t *testing.T, w []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, p := range []*float64{&n.lossRate, &n.silentRate} {
		v, err := strconv.ParseFloat(w[i], 64)
		if err != nil {
			t.Fatal(err)
		}
		*p = v
	}
}

// checkPropagation says which daemons that run and are not cut off learned of a change later
// than the bound, or not at all.
func (n *testNet) checkPropagation(keys []string, most time.Duration) string {
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
				late = append(late, fmt.Sprintf("%s never heard of %s", name, key))
			case took > most:
				late = append(late, fmt.Sprintf("%s heard of %s after %s", name, key, took.Round(time.Millisecond)))
			}
		}
	}
	if len(late) == 0 {
		return "all in time"
	}
	slices.Sort(late)
	return strings.Join(late, "; ")
}

// checkUnusable says which daemons count an instance as gone at the moment.
func (n *testNet) checkUnusable(id string) string {
	var all []string
	for name, node := range n.nodes {
		if _, usable, ok := node.gossiper.fleet.Get(time.Now(), id); ok && !usable {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return fmt.Sprintf("gone at %v", all)
}

// checkAge says which daemons have not known for longer than the bound that their
// copy is current, or claim to know it of the future.
func (n *testNet) checkAge(most time.Duration) string {
	var all []string
	for name, node := range n.nodes {
		if age := node.gossiper.age(time.Now()); node.up && (age > most || age < 0) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return fmt.Sprintf("old at %v", all)
}
