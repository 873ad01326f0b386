//go:build !race

// The race detector of Go 1.26 crashes on large bubbles of testing/synctest
// (SIGSEGV in its StackDepot). With GOMAXPROCS=1 it runs and reports no races
// in this test.

package sidecar

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/backend"
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

// runScript runs one script. Each line consists of a time, a step and its arguments. In
// place of a daemon's name, CENTRE! is the owner of the test customer's bucket in a data
// centre, and CENTRE#N the daemon of rank N in its order of readers.
func runScript(t *testing.T, d *datadriven.TestData) string {
	var centres string
	var perCentre int
	var bound string
	d.ScanArgs(t, "centres", &centres)
	d.ScanArgs(t, "each", &perCentre)
	d.ScanArgs(t, "bound", &bound)
	maxDelay, err := time.ParseDuration(bound)
	if err != nil {
		t.Fatal(err)
	}
	rate, burst := testRate, testBurst
	d.MaybeScanArgs(t, "rate", &rate)
	d.MaybeScanArgs(t, "burst", &burst)
	n := newTestNet(strings.Split(centres, "+"), perCentre, rate, burst)
	defer n.close()
	begin := time.Now()
	var out strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		fields := strings.Fields(line)
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(begin.Add(at)))
		if text := n.runStep(t, fields[1:], maxDelay); text != "" {
			fmt.Fprintf(&out, "%s: %s\n", line, text)
		}
	}
	return out.String()
}

// testNet simulates a store and a fleet of daemons that exchange messages by calls of
// functions instead of over a network.
type testNet struct {
	mu sync.Mutex
	// nodes are the daemons by name: the data centre and a number.
	nodes map[string]*testNode
	// lossRate is the fraction of messages that are delayed by a retransmission.
	lossRate float64
	// silentRate is the fraction of messages that are never answered.
	silentRate float64
	// processingDelay is the time that a daemon takes to process a message.
	processingDelay time.Duration
	// linkRate is the number of bytes per second that the link of each daemon sends, or
	// zero for no limit. longestQueue is the longest time that a message has waited for a
	// link.
	linkRate     int
	longestQueue time.Duration
	store        *testStore
	// centres is the number of data centres.
	centres int
	// crossed is the number of store items in messages between data centres.
	crossed int
	// messages is the number of messages since the last check.
	messages int
	// apart holds the data centres whose daemons cannot reach those of others.
	apart map[string]bool
	// rate and burst are the test customer's limit.
	rate, burst int
	// admittedAt holds the times of the requests that were within the
	// customer's limit.
	admittedAt []time.Time
}

// testNode simulates a daemon, of which only the parts that replicate the store and
// enforce limits run. It is also the daemon's Source, Decoder and exchanger.
type testNode struct {
	net      *testNet
	ip       string
	centre   string
	gossiper *gossiper
	limiter  *rateLimiter
	cancel   context.CancelFunc
	out      *logs.Writer
	// running indicates that the process runs, storeReachable that it can reach the
	// store, and partitioned that it can reach neither the store nor any other daemon.
	running, storeReachable, partitioned bool
	// readsOldCopy states that it reads the store as of the era before.
	readsOldCopy bool
	// linkFree is when the daemon's link will have sent all messages.
	linkFree time.Time
	// receivedAt is when the daemon received the last change of each key.
	receivedAt map[string]time.Time
}

func newTestNet(centres []string, perCentre, rate, burst int) *testNet {
	n := &testNet{
		nodes: make(map[string]*testNode), store: newTestStore(), centres: len(centres),
		apart: make(map[string]bool), rate: rate, burst: burst,
	}
	for c, centre := range centres {
		for i := range perCentre {
			n.nodes[fmt.Sprintf("%s%d", centre, i+1)] = &testNode{
				net: n, ip: fmt.Sprintf("10.%d.0.%d", c+1, i+1), centre: centre, storeReachable: true,
			}
		}
	}
	for name, node := range n.nodes {
		n.store.put("i/"+name, node.entry(), false)
		node.start()
	}
	return n
}

// testService is the service of the daemons' instances.
const testService = "s"

// entry returns the value of the daemon's instance in the store.
func (node *testNode) entry() string { return node.ip + " " + node.centre + " " + testService }

func (n *testNet) close() {
	for _, node := range n.nodes {
		node.kill()
	}
	synctest.Wait()
}

// runStep runs one step of a script.
func (n *testNet) runStep(t *testing.T, step []string, maxDelay time.Duration) string {
	for i, name := range step {
		if centre, _, ok := strings.Cut(name, "!"); ok {
			step[i] = n.owner(t, centre)
		}
		if centre, rank, ok := strings.Cut(name, "#"); ok {
			step[i] = n.reader(t, centre, rank)
		}
	}
	forEach := func(change func(*testNode)) {
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
	case "storm": // storm key count gap size: changes of a key, to values of a size that cannot be compressed
		n.publishStorm(t, step[1:])
	case "links": // links N: the link of each daemon sends N bytes per second
		n.mu.Lock()
		n.linkRate = atoi(t, step[1])
		n.mu.Unlock()
	case "queues": // queues D: how long messages waited for a link, D at most
		return n.checkQueues(t, step[1])
	case "foreign": // foreign N SERVICE: another writer adds N entries of a service, whose hosts run no daemon
		n.publishForeign(atoi(t, step[1]), step[2])
	case "messages": // messages N: the daemons have sent at most N messages since the last time
		return n.checkMessages(t, step[1])
	case "peers": // peers N: no daemon keeps state of more than N other hosts
		return n.checkPeers(t, step[1])
	case "remove", "publish":
		for _, name := range step[1:] {
			n.store.put("i/"+name, n.nodes[name].entry(), step[0] == "remove")
		}
	case "store": // store away|back, or store silent|answers
		if step[1] == "silent" || step[1] == "answers" {
			n.store.setSilent(step[1] == "silent")
			break
		}
		n.store.setUnavailable(step[1] == "away")
	case "message": // message TO FROM ERA/REVISION [after=N|whole|want|lost=VERSION+CONTENT@ERA/REVISION] KEY=VALUE@REVISION...: prints the answer
		return n.sendMessage(t, n.nodes[step[1]], n.nodes[step[2]], step[3], step[4:])
	case "restore": // restore D: the store comes back from a copy that is D old
		n.store.setUnavailable(false)
		ago, err := time.ParseDuration(step[1])
		if err != nil {
			t.Fatal(err)
		}
		n.store.restore(ago)
	case "oldcopy", "newcopy": // the daemons read the store as of the era before, or as it is
		forEach(func(node *testNode) { node.readsOldCopy = step[0] == "oldcopy" })
	case "failing": // failing PREFIX: lists of PREFIX fail, or none if it is none
		n.store.fail(strings.TrimPrefix(step[1], "none"))
	case "config": // config N [CONTENT]: version N, under the same key as the others
		n.store.put("c/config", strings.Join(step[1:], " "), false)
	case "enter": // enter ID NAME [START]: another instance beside a daemon, started at a Unix time
		n.store.put("i/"+step[1], strings.Join(append([]string{n.nodes[step[2]].entry()}, step[3:]...), " "), false)
	case "exit": // exit ID: the entry of an instance is removed
		n.store.put("i/"+step[1], "", true)
	case "usable": // usable ID: which daemons do not use an instance
		return n.listNodes(func(node *testNode) bool {
			_, usable, _ := node.gossiper.fleet.Get(time.Now(), step[1])
			return !usable
		})
	case "drain":
		for _, name := range step[1:] {
			n.store.put("i/"+name, n.nodes[name].entry()+" draining", false)
		}
	case "evacuate", "return": // evacuate CENTRE
		n.store.put("c/evacuate-"+step[1], "", step[0] == "return")
	case "eras": // which daemons are not at the store's position
		at := n.store.position()
		return n.listNodes(func(node *testNode) bool { return node.gossiper.replica.Position() != at })
	case "versions": // versions N: which daemons have another version in force
		return n.listNodes(func(node *testNode) bool {
			cfg := node.gossiper.config.Load()
			return cfg == nil || cfg.Version() != uint64(atoi(t, step[1]))
		})
	case "contents": // contents CONTENT: which daemons have a version with other content in force
		return n.listNodes(func(node *testNode) bool {
			cfg := node.gossiper.config.Load()
			if cfg == nil {
				return true
			}
			s, _ := cfg.Service(testService)
			return s.HealthPath() != "/"+step[1]
		})
	case "crash", "answer": // crash ID NAME: the backend server beside a daemon crashes with a request, or answers it
		n.report(step[0] == "crash", testRequest(t, step[1]), n.nodes[step[2]].gossiper)
	case "quarantined": // quarantined ID: which daemons do not quarantine a request
		return n.listNodes(func(node *testNode) bool {
			return !node.gossiper.quarantine.Quarantined(time.Now(), testRequest(t, step[1]))
		})
	case "free": // free ID: which daemons quarantine a request
		return n.listNodes(func(node *testNode) bool {
			return node.gossiper.quarantine.Quarantined(time.Now(), testRequest(t, step[1]))
		})
	case "evacuated": // evacuated CENTRE: which daemons hold that it is in service
		return n.listNodes(func(node *testNode) bool { return !node.gossiper.fleet.Evacuated(step[1]) })
	case "compact": // compact PREFIX: watches fail with a discarded history, and lists of PREFIX
		n.store.compact(step[1])
	case "shut":
		forEach(func(node *testNode) { node.storeReachable = false })
	case "open":
		forEach(func(node *testNode) { node.storeReachable = true })
	case "cut":
		forEach(func(node *testNode) { node.partitioned = true })
	case "heal":
		forEach(func(node *testNode) { node.partitioned = false })
	case "part", "join": // part CENTRE: its daemons reach the store, but none of other data centres
		n.mu.Lock()
		n.apart[step[1]] = step[0] == "part"
		n.mu.Unlock()
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
		return n.sendRequests(t, step[1:]).String()
	case "passes": // passes N DURATION RATE TARGETS: at least N tenths of the requests are admitted
		result := n.sendRequests(t, step[2:])
		if result.tenths(result.counts[caller.ReasonNone]) < atoi(t, step[1]) {
			return result.String()
		}
		return "enough passed"
	case "most":
		return n.checkLimit()
	case "calls":
		return n.store.checkCalls(t, step[1])
	case "crossed": // crossed N: at most N items crossed between data centres since the last time
		limit := atoi(t, step[1])
		n.mu.Lock()
		defer n.mu.Unlock()
		crossed := n.crossed
		n.crossed = 0
		if crossed > limit {
			return fmt.Sprintf("%d items", crossed)
		}
		return "within the bound"
	case "aged":
		return n.checkAge(maxDelay)
	default:
		t.Fatalf("unknown step %q", step)
	}
	return ""
}

// testRequest returns the key of a request.
func testRequest(t *testing.T, id string) backend.RequestKey {
	return backend.NewRequestKey(testCustomer, uint64(atoi(t, id)))
}

// report lets a daemon record a crash with a request, or an answer to it.
func (n *testNet) report(crash bool, key backend.RequestKey, g *gossiper) {
	if !crash {
		g.broadcastCrashes(g.quarantine.RecordAnswer(key))
		return
	}
	if report, counted := g.quarantine.RecordCrash(time.Now(), key); counted {
		g.broadcastCrashes([]backend.CrashReport{report})
	}
}

func atoi(t *testing.T, text string) int {
	v, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (n *testNet) publishStorm(t *testing.T, args []string) {
	gap, err := time.ParseDuration(args[2])
	if err != nil {
		t.Fatal(err)
	}
	value := make([]byte, atoi(t, args[3]))
	for range atoi(t, args[1]) {
		for i := range value {
			value[i] = byte(rand.Uint32())
		}
		n.store.put("c/"+args[0], string(value), false)
		time.Sleep(gap)
	}
}

func (n *testNet) publishForeign(count int, service string) {
	centres := make(map[string]bool)
	for _, node := range n.nodes {
		centres[node.centre] = true
	}
	names := slices.Sorted(maps.Keys(centres))
	for i := range count {
		n.store.put(fmt.Sprintf("i/x%d", i), fmt.Sprintf("10.200.%d.%d %s %s", i/250, i%250, names[i%len(names)], service), false)
	}
}

func (n *testNet) checkMessages(t *testing.T, bound string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.messages
	n.messages = 0
	t.Logf("%d messages", sent)
	if sent > atoi(t, bound) {
		return fmt.Sprintf("%d messages", sent)
	}
	return "within the bound"
}

func (n *testNet) checkPeers(t *testing.T, bound string) string {
	most := 0
	for _, node := range n.nodes {
		if node.running {
			most = max(most, node.gossiper.pushes.Len())
		}
	}
	t.Logf("state of %d hosts at most", most)
	if most > atoi(t, bound) {
		return fmt.Sprintf("%d hosts", most)
	}
	return "within the bound"
}

func (n *testNet) checkQueues(t *testing.T, bound string) string {
	limit, err := time.ParseDuration(bound)
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	longest := n.longestQueue
	n.longestQueue = 0
	if longest > limit {
		return longest.Round(time.Millisecond).String()
	}
	return "within the bound"
}

// reader returns the name of the daemon with a given rank among the readers of
// a data centre.
func (n *testNet) reader(t *testing.T, centre, rank string) string {
	i := atoi(t, rank)
	for _, node := range n.nodes {
		if node.centre != centre || !node.running || node.partitioned {
			continue
		}
		order := node.gossiper.watcher.readerOrder()
		for name, other := range n.nodes {
			if i < len(order) && other.ip == order[i] {
				return name
			}
		}
	}
	t.Fatalf("no reader %s in %s", rank, centre)
	return ""
}

// The test customer and its limit where a script sets no other.
const (
	testCustomer = "kunde"
	testRate     = 60
	testBurst    = 30
)

// owner returns the name of the daemon that owns the test customer's bucket in a
// data centre.
func (n *testNet) owner(t *testing.T, centre string) string {
	for _, node := range n.nodes {
		if node.centre != centre || !node.running || node.partitioned {
			continue
		}
		ip := node.limiter.bucketOwner(testCustomer)
		for name, other := range n.nodes {
			if other.ip == ip {
				return name
			}
		}
	}
	t.Fatalf("no daemon owns the bucket in %s", centre)
	return ""
}

// sendRequests sends requests of the test customer. args are the duration, the rate per
// second, and the data centres or daemons that receive the requests.
func (n *testNet) sendRequests(t *testing.T, args []string) loadResult {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		t.Fatal(err)
	}
	rate := atoi(t, args[1])
	var targets []*testNode
	for _, name := range slices.Sorted(maps.Keys(n.nodes)) {
		if node := n.nodes[name]; node.running && (slices.Contains(args[2:], node.centre) || slices.Contains(args[2:], name)) {
			targets = append(targets, node)
		}
	}
	result := loadResult{total: int(d.Seconds() * float64(rate)), counts: make(map[caller.Reason]int)}
	var wg sync.WaitGroup
	for i := range result.total {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			begin := time.Now()
			reason := targets[i%len(targets)].limiter.allow(ctx, testCustomer).reason
			n.mu.Lock()
			defer n.mu.Unlock()
			if time.Since(begin) > delayedThreshold {
				result.delayed++
			}
			result.counts[reason]++
			if reason == caller.ReasonNone {
				n.admittedAt = append(n.admittedAt, time.Now())
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	return result
}

// loadResult counts what became of the requests of a load: those that were admitted or
// rejected by reason, and those that were delayed.
type loadResult struct {
	total, delayed int
	counts         map[caller.Reason]int
}

// tenths returns a number of requests in tenths of all.
func (r loadResult) tenths(number int) int { return (10*number + r.total/2) / r.total }

func (r loadResult) String() string {
	return fmt.Sprintf("tenths passed %d, over %d, unknown %d, held %d", r.tenths(r.counts[caller.ReasonNone]),
		r.tenths(r.counts[caller.ReasonRateLimited]), r.tenths(r.counts[caller.ReasonLimitUnknown]), r.tenths(r.delayed))
}

// delayedThreshold is the time above which a request is reported as delayed by the
// check of its limit.
const delayedThreshold = 50 * time.Millisecond

// checkLimit checks the number of admitted requests in every window of the limit against
// the quota bounds that the daemons are configured with.
func (n *testNet) checkLimit() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	const window = 5 * time.Second
	allowed := (float64(n.rate)*window.Seconds()+float64(n.burst))*1.25 + 20
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
			at, ok := node.receivedAt[key]
			took := at.Sub(n.store.changedAt(key))
			switch {
			case !node.running || node.partitioned:
			case !ok, took < 0:
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

// checkUnusable returns which daemons consider a published instance unusable.
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

// listNodes returns the names of the running daemons for which a condition holds.
func (n *testNet) listNodes(holds func(*testNode) bool) string {
	names := []string{}
	for name, node := range n.nodes {
		if node.running && holds(node) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return fmt.Sprintf("not at %v", names)
}

// checkAge returns which daemons have a replica that was last confirmed to be
// current longer than the bound ago, or in the future.
func (n *testNet) checkAge(maxAge time.Duration) string {
	var names []string
	for name, node := range n.nodes {
		if age := node.gossiper.age(time.Now()); node.running && (age > maxAge || age < 0) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return fmt.Sprintf("old at %v", names)
}
