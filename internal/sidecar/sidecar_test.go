package sidecar_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/zeromicro/go-zero/core/logx"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/sidecar"
	"github.com/lycheehead/lycheehead/pkg/replica"
	"github.com/lycheehead/lycheehead/platform"
)

// The ports of the test machines, each of which has a loopback address of its own. They lie
// below those of outgoing connections.
const (
	portStore = 28410 + iota
	portOutbound
	portInbound
	portReady
	portControl
	portBackend
	// portProxiedControl is the control port of a daemon behind a proxy.
	portProxiedControl
	// portHeldInbound is the inbound port of a daemon behind a heldProxy.
	portHeldInbound
)

const callerKey = "the-callers-secret-key"

// configFormat is the format of a configuration for the services a and b. Its arguments
// are the version and the API key of the customer.
const configFormat = `{"config-version":"%08x","resources":[
{"resource-type":"routes","metadata":{"name":"read"},"spec":{"hostname":"h.example","prefix":"/read/","type":"safe","timeout-s":1,"target-latency-s":0.5,"priority":1,"service":"a","max-attempts":2}},
{"resource-type":"routes","metadata":{"name":"book"},"spec":{"hostname":"h.example","prefix":"/book/","type":"unsafe","timeout-s":1,"target-latency-s":0.5,"priority":0,"service":"a","max-attempts":2}},
{"resource-type":"routes","metadata":{"name":"open"},"spec":{"hostname":"h.example","prefix":"/open/","type":"safe","timeout-s":0.4,"target-latency-s":0.2,"priority":1,"service":"b","max-attempts":2,"allow-anonymous":true}},
{"resource-type":"routes","metadata":{"name":"held"},"spec":{"hostname":"h.example","prefix":"/held/","type":"safe","timeout-s":30,"target-latency-s":2,"priority":1,"service":"b","max-attempts":2,"allow-anonymous":true}},
{"resource-type":"routes","metadata":{"name":"kept"},"spec":{"hostname":"h.example","prefix":"/kept/","type":"unsafe","timeout-s":30,"target-latency-s":1,"priority":0,"service":"a","max-attempts":2}},
{"resource-type":"routes","metadata":{"name":"long"},"spec":{"hostname":"h.example","prefix":"/long/","type":"unsafe","timeout-s":2,"target-latency-s":1,"priority":0,"service":"a","max-attempts":2}},
{"resource-type":"routes","metadata":{"name":"nested"},"spec":{"hostname":"h.example","prefix":"/nested/","type":"safe","timeout-s":30,"target-latency-s":1,"priority":0,"service":"a","max-attempts":2}},
{"resource-type":"routes","metadata":{"name":"parent"},"spec":{"hostname":"h.example","prefix":"/parent/","type":"safe","timeout-s":0.9,"target-latency-s":0.5,"priority":0,"service":"a","max-attempts":2}},
{"resource-type":"services","metadata":{"name":"a"},"spec":{"health-path":"/health","max-connections":50}},
{"resource-type":"services","metadata":{"name":"b"},"spec":{"health-path":"/health","max-connections":50}},
{"resource-type":"tenants","metadata":{"name":"kunde"},"spec":{"api-keys":[%q],"rate-per-s":1000,"burst":1000}},
{"resource-type":"limits","metadata":{},"spec":{"max-body-bytes":1000000}}]}`

// oddEntries are entries of other writers by kind. HOST is the address of m1.
var oddEntries = map[string]string{
	"bytes":  "\xff\x00\xfe",
	"nested": `{"address":` + strings.Repeat("[", 200_000),
	"number": `{"address":"HOST:28415","born":1,"info":{"service":"a","zone":"muc","slots":9000000000000000000},"status":{"state":"ready"}}`,
	"port":   `{"address":"HOST:99999","born":1,"info":{"service":"a","zone":"muc","slots":2},"status":{"state":"ready"}}`,
	"zero":   `{"address":"HOST:0","born":1,"info":{"service":"a","zone":"muc","slots":2},"status":{"state":"ready"}}`,
	"cold":   `{"address":"HOST:28415","born":1,"info":{"service":"a","zone":"muc","slots":2},"status":{"state":"ready","warmup-left-s":1e300}}`,
	"future": `{"address":"HOST:28415","born":9000000000000000000,"info":{"service":"a","zone":"muc","slots":2},"status":{"state":"ready"}}`,
}

// panickyDecoder panics on the item of a certain key.
type panickyDecoder struct{ *platform.Decoder }

// Decode implements sidecar.Decoder.
func (d panickyDecoder) Decode(i replica.Item) (sidecar.Change, error) {
	if i.Key() == "servers/panic" {
		panic("as the script says")
	}
	return d.Decoder.Decode(i)
}

// panickyHeaders panics in a call of the admission, as set by the command panic.
type panickyHeaders struct {
	platform.Headers
	panics *atomic.Value
}

func (h panickyHeaders) panicIn(call string) {
	if h.panics.Load() == call {
		panic("as the script says")
	}
}

// SetTarget implements sidecar.Protocol.
func (h panickyHeaders) SetTarget(header http.Header, instance string, remaining time.Duration) {
	h.panicIn("request")
	h.Headers.SetTarget(header, instance, remaining)
}

// Match implements sidecar.Protocol.
func (h panickyHeaders) Match(id string, response http.Header) http1.Match {
	h.panicIn("response")
	return h.Headers.Match(id, response)
}

// largeBody is the size in bytes of a body that is passed on while it arrives.
const largeBody = 1200 << 10

// controlMessages are messages of senders that are no daemons, by kind.
var controlMessages = map[string]string{
	"empty":   "",
	"text":    "hello",
	"zeros":   strings.Repeat("\x00", 1000),
	"plain":   "\x02\x01\x02\x03\x04\x05\x06\x07\x08\x12\xff\xff\xff",
	"endless": strings.Repeat("\x03", 20<<20),
}

// testFleet is a number of daemons with their backend servers, and a store. The maps are
// keyed by the name of the machine.
type testFleet struct {
	t testing.TB
	// prefix is the part that the addresses of all machines have in common.
	prefix   string
	listener net.Listener
	store    *fakeStore
	backends map[string]*fakeBackend
	daemons  map[string]*sidecar.Daemon
	proxies  map[string]*proxy
	held     map[string]*heldProxy
	out      *logBuffer
	// requests is the number of requests sent so far.
	requests int
	// restarted is set once a daemon has been started again.
	restarted bool
	// conn is the connection on which a script sends several requests.
	conn   net.Conn
	reader *bufio.Reader
	// stops waits for the daemons that are stopping.
	stops sync.WaitGroup
	// grace is the grace time of the daemons that are started.
	grace time.Duration
	// link is the rate of the links of the daemons that are started, in bytes per second, 0 if
	// unknown.
	link int64
	// pending holds the responses to the requests sent in the background, by the name that
	// the script gives them.
	pending map[string]chan string
	// untimed states that responses are printed without whether they are late.
	untimed bool
	// listed is what the Connection field of requests lists, or "".
	listed string
	// files is the limit for open files before a script lowered it, or zero.
	files uint64
	// panics is the call in which the protocol of the daemons panics.
	panics atomic.Value
}

// logBuffer holds the log of all daemons.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// prefixAttempts is how many loopback networks are tried for a fleet.
const prefixAttempts = 20

// withoutCustomers returns a configuration without its customers.
func withoutCustomers(config string) string {
	before, tenants, _ := strings.Cut(config, "\n{\"resource-type\":\"tenants\"")
	_, after, _ := strings.Cut(tenants, "\n")
	return before + "\n" + after
}

// newTestFleet returns a fleet without machines whose store is running. The listener of the
// store, which is open until the test ends, keeps other test processes away from the fleet's
// addresses.
func newTestFleet(t testing.TB) *testFleet {
	f := &testFleet{
		t: t, store: newFakeStore(), backends: make(map[string]*fakeBackend),
		daemons: make(map[string]*sidecar.Daemon), proxies: make(map[string]*proxy), held: make(map[string]*heldProxy), out: &logBuffer{},
		grace: 4 * time.Second, pending: make(map[string]chan string),
	}
	var err error
	for range prefixAttempts {
		f.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
		if f.listener, err = net.Listen("tcp", f.addressOf("m250", portStore)); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(f.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return f
}

func (f *testFleet) addressOf(machine string, port int) string {
	return net.JoinHostPort(f.prefix+machine[1:], strconv.Itoa(port))
}

// TestSidecar runs scripts against fleets of daemons in one process. The machines are
// named m1 to m9. Each has a daemon and a backend server, i1 to i9.
func TestSidecar(t *testing.T) {
	logx.Disable()
	datadriven.Walk(t, "testdata/sidecar", func(t *testing.T, path string) {
		f := newTestFleet(t)
		defer f.shutdown()
		defer func() {
			if t.Failed() {
				t.Logf("log of the daemons:\n%s", f.out)
			}
		}()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				out.WriteString(f.runLine(strings.Fields(line)))
			}
			return out.String()
		})
		if strings.Contains(f.out.String(), callerKey) {
			t.Error("the log contains a caller's API key")
		}
	})
}

func (f *testFleet) shutdown() {
	if f.files > 0 {
		f.limitFiles(false)
	}
	for _, b := range f.backends {
		b.resume()
		b.set("", nil)
	}
	for _, d := range f.daemons {
		_ = d.Close()
	}
	f.stops.Wait()
}

// runLine executes one line of a script.
func (f *testFleet) runLine(args []string) string {
	switch args[0] {
	case "backend": // backend m1 service centre
		f.backends[args[1]] = startBackend(f.t, f.store, "i"+args[1][1:], args[2], args[3], f.addressOf(args[1], portBackend))
	case "daemon": // daemon m1 service centre [proxied|held]
		control := f.addressOf(args[1], portControl)
		switch {
		case len(args) > 4 && args[4] == "held":
			f.held[args[1]] = startHeldProxy(f.t, f.addressOf(args[1], portInbound), f.addressOf(args[1], portHeldInbound))
		case len(args) > 4:
			control = f.addressOf(args[1], portProxiedControl)
			f.proxies[args[1]] = startProxy(f.t, f.addressOf(args[1], portControl), control)
		}
		f.start(args[1], args[2], args[3], control)
	case "hold": // hold m1 requests|answers|bodies: holds what is sent between m1 and other daemons
		f.held[args[1]].hold(args[2])
	case "holding": // holding m1: waits until something is held
		f.waitFor(f.held[args[1]].holding)
	case "release":
		f.held[args[1]].release()
	case "pause": // pause m1: the backend server answers nothing from now on
		f.backends[args[1]].set("", make(chan struct{}))
	case "resume":
		f.backends[args[1]].resume()
	case "uploads": // uploads n [keyless]: configuration n, with bodies of up to 10 MB, with or without customers
		n, _ := strconv.Atoi(args[1])
		text := fmt.Sprintf(configFormat, n, callerKey)
		if len(args) > 2 {
			text = withoutCustomers(text)
		}
		f.store.put("op/config", strings.ReplaceAll(text, `"max-body-bytes":1000000`, `"max-body-bytes":10000000`), false)
	case "silence":
		f.proxies[args[1]].silence()
	case "config":
		n, _ := strconv.Atoi(args[1])
		apiKey := callerKey
		if len(args) > 2 {
			apiKey = args[2]
		}
		f.store.put("op/config", fmt.Sprintf(configFormat, n, apiKey), false)
	case "keyless": // keyless n: configuration n, without customers
		n, _ := strconv.Atoi(args[1])
		f.store.put("op/config", withoutCustomers(fmt.Sprintf(configFormat, n, callerKey)), false)
	case "warmup": // warmup n: configuration n, with a warm-up of 3 s at 5 requests a second
		n, _ := strconv.Atoi(args[1])
		text := fmt.Sprintf(configFormat, n, callerKey)
		f.store.put("op/config", strings.ReplaceAll(text, `"max-connections":50`, `"max-connections":50,"warmup-s":3,"warmup-per-s":5`), false)
	case "cold", "warm": // cold m1: health checks of its backend server report a warm-up from now on
		f.backends[args[1]].mu.Lock()
		f.backends[args[1]].cold = 0
		if args[0] == "cold" {
			f.backends[args[1]].cold = 3 * time.Second
		}
		f.backends[args[1]].mu.Unlock()
	case "restart": // restart m1 service centre: kills the daemon and starts it again
		_ = f.daemons[args[1]].Close()
		f.restarted = true
		f.start(args[1], args[2], args[3], f.addressOf(args[1], portControl))
		time.Sleep(500 * time.Millisecond)
	case "many": // many m1 path n key: sends n requests, 10 ms apart
		n, _ := strconv.Atoi(args[3])
		results := make([]string, n)
		var group sync.WaitGroup
		for i := range n {
			r := f.newRequest([]string{"get", args[1], args[2], args[4]})
			group.Go(func() { results[i] = f.send(r, false) })
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		ran := 0
		for _, text := range results {
			if strings.HasPrefix(text, "200") {
				ran++
			}
		}
		// In any second, a cold backend server receives at most 5 requests multiplied by
		// 1.5, plus 5.
		const coldBound = 12
		switch {
		case ran == n:
			return "all ran\n"
		case ran > 0 && ran <= coldBound:
			return "within the bound for a cold backend server\n"
		}
		return fmt.Sprintf("%d of %d ran\n", ran, n)
	case "ready":
		f.waitFor(func() bool {
			for name := range f.daemons {
				resp, err := http.Get("http://" + f.addressOf(name, portReady) + "/ready")
				if err != nil {
					return false
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					return false
				}
			}
			return true
		})
		time.Sleep(500 * time.Millisecond)
	case "state":
		f.backends[args[1]].publish(args[2])
		time.Sleep(500 * time.Millisecond)
	case "remove":
		f.store.put("servers/i"+args[1][1:], "", true)
		time.Sleep(1800 * time.Millisecond)
	case "odd": // odd id kind: another writer puts an odd entry
		f.store.put("servers/"+args[1], strings.ReplaceAll(oddEntries[args[2]], "HOST", f.prefix+"1"), false)
	case "control": // control m1 kind: sends a malformed control message
		resp, err := http.Post("http://"+f.addressOf(args[1], portControl)+"/exchange", "", strings.NewReader(controlMessages[args[2]]))
		if err != nil {
			return "no answer\n"
		}
		_ = resp.Body.Close()
		return fmt.Sprintf("%d\n", resp.StatusCode)
	case "log": // log text: counts the lines that contain a message
		return fmt.Sprintf("%d lines\n", strings.Count(f.out.String(), `"@message":"`+strings.Join(args[1:], " ")+`"`))
	case "logged": // logged text: prints how often the log contains a text
		return fmt.Sprintf("%d times\n", strings.Count(f.out.String(), strings.Join(args[1:], " ")))
	case "metric": // metric m1 text: prints the metrics that begin with a text, sorted
		return f.metrics(args[1], args[2])
	case "applied": // applied n: waits until all daemons have logged that they use configuration n
		n, _ := strconv.Atoi(args[1])
		f.waitFor(func() bool { return f.countApplied(n) >= len(f.daemons) })
	case "limits": // limits n rate: configuration n, with a rate limit
		n, _ := strconv.Atoi(args[1])
		text := fmt.Sprintf(configFormat, n, callerKey)
		f.store.put("op/config", strings.ReplaceAll(text, `"rate-per-s":1000`, `"rate-per-s":`+args[2]), false)
	case "oddconfig":
		f.store.put("op/config", `{"config-version":"ff","x":`+strings.Repeat("[", 200_000), false)
	case "evacuate":
		f.store.put("op/evacuate/"+args[1], "{}", len(args) > 2)
		time.Sleep(500 * time.Millisecond)
	case "store":
		f.store.setUnavailable(args[1] == "away")
	case "fault":
		for _, name := range args[2:] {
			f.backends[name].set(strings.TrimSuffix(args[1], "none"), nil)
		}
	case "panic": // panic request|response|none: the daemons panic before a request is sent to a backend server, or at its response
		f.panics.Store(args[1])
	case "crash":
		f.backends[args[1]].stop()
	case "revive": // revive m1...: starts backend servers again, also those that have crashed
		for _, name := range args[1:] {
			f.backends[name].stop()
			f.backends[name].start(f.t)
		}
		time.Sleep(500 * time.Millisecond)
	case "stop":
		d := f.daemons[args[1]]
		f.stops.Go(func() { _ = d.Stop() })
		delete(f.daemons, args[1])
		f.waitFor(func() bool { return !d.Ready() })
		time.Sleep(50 * time.Millisecond)
	case "stopped": // waits for the daemons that are stopping
		f.stops.Wait()
	case "wait":
		time.Sleep(f.duration(args[1]))
	case "files": // files none|all: whether the process may open files and connections
		f.limitFiles(args[1] == "none")
	case "untimed": // untimed [get|post ...]: the request, or all that follow, are printed without lateness
		if len(args) > 1 {
			return f.send(f.newRequest(args[1:]), false) + "\n"
		}
		f.untimed = true
	case "listed": // listed a,b: requests list these fields in their Connection field from now on
		f.listed = args[1]
	case "link": // link 200000: the rate of the links of the daemons that are started from now on
		f.link, _ = strconv.ParseInt(args[1], 10, 64)
	case "grace": // grace 6s: the grace time of the daemons that are started from now on
		f.grace = f.duration(args[1])
	case "get", "head", "post", "upload", "chunked":
		return f.request(args) + "\n"
	case "authorized": // authorized m1 path value [| value ...]: sends a request with these Authorization fields
		r := f.newRequest([]string{"get", args[1], args[2], "nokey"})
		for value := range strings.SplitSeq(strings.Join(args[3:], " "), " | ") {
			r.Header.Add("Authorization", value)
		}
		return f.send(r, !f.untimed) + "\n"
	case "again": // again get|post ...: sends a request with the id of the last one
		f.requests--
		return f.request(args[1:]) + "\n"
	case "begin": // begin name get|post ...: sends a request in the background
		r, result := f.newRequest(args[2:]), make(chan string, 1)
		f.pending[args[1]] = result
		timed := !f.untimed
		go func() { result <- f.send(r, timed) }()
	case "await": // await name: prints the response to a request in the background
		return <-f.pending[args[1]] + "\n"
	case "open": // open m1 [inbound]: opens a connection for the commands send, receive and leave
		port := portOutbound
		if len(args) > 2 {
			port = portInbound
		}
		c, err := net.Dial("tcp", f.addressOf(args[1], port))
		if err != nil {
			f.t.Fatal(err)
		}
		f.conn, f.reader = c, bufio.NewReader(c)
	case "send": // send path [key|none]: sends a request without waiting for responses
		f.requests++
		authorization := "Authorization: Bearer " + callerKey + "\r\n"
		switch {
		case len(args) > 2 && args[2] == "none":
			authorization = ""
		case len(args) > 2:
			authorization = "Authorization: Bearer " + args[2] + "\r\n"
		}
		_, _ = fmt.Fprintf(f.conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: p-%d\r\nX-Deadline-Ms: %d\r\n%s\r\n",
			args[1], f.requests, timeoutOf(args[1]).Milliseconds(), authorization)
	case "reached": // reached m1 path: waits until a request has reached the backend server
		f.waitFor(func() bool { return f.backends[args[1]].hasSeen(args[2]) })
	case "waiting": // waiting m1 n: waits until n requests wait in the queue of a daemon
		n, _ := strconv.Atoi(args[2])
		f.waitFor(func() bool { return f.daemons[args[1]].Waiting() == n })
	case "cancelled": // cancelled m1 path: waits until the work on a request has been cancelled
		f.waitFor(func() bool { return f.backends[args[1]].hasCancelled(args[2]) })
	case "half": // half path [ms]: sends a request without the end of its body, with a deadline of 800 ms by default
		f.requests++
		deadline := "800"
		if len(args) > 2 {
			deadline = args[2]
		}
		_, _ = fmt.Fprintf(f.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: p-%d\r\nX-Deadline-Ms: %s\r\n"+
			"Authorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", args[1], f.requests, deadline, callerKey)
	case "large": // large path: sends more than is buffered of a body without length, with a deadline of 5 s
		f.requests++
		_, _ = fmt.Fprintf(f.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: p-%d\r\nX-Deadline-Ms: 5000\r\n"+
			"Authorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", args[1], f.requests, callerKey,
			largeBody, strings.Repeat("x", largeBody))
	case "finish": // sends the end of such a body
		_, _ = io.WriteString(f.conn, "4\r\nlast\r\n0\r\n\r\n")
	case "receive":
		return f.receive()
	case "leave":
		_ = f.conn.Close()
	case "any": // any get|post ...: prints the status only
		status, _, _ := strings.Cut(f.request(args[1:]), " ")
		return status + "\n"
	case "seen":
		return f.drainSeen()
	case "sorted": // as seen, but sorted
		lines := strings.SplitAfter(f.drainSeen(), "\n")
		slices.Sort(lines)
		return strings.Join(lines, "")
	case "most":
		total, runs := make(map[string]int), 0
		for _, b := range f.backends {
			for id, n := range b.runs() {
				total[id] += n
				runs = max(runs, total[id])
			}
		}
		return fmt.Sprintf("no request ran more than %d times\n", runs)
	default:
		f.t.Fatalf("unknown command %q", args)
	}
	return ""
}

// limitFiles lowers the limit for open files below the descriptors in use, or restores it.
func (f *testFleet) limitFiles(none bool) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		f.t.Fatal(err)
	}
	if f.files == 0 {
		f.files = limit.Cur
	}
	limit.Cur = f.files
	if none {
		limit.Cur = 3
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		f.t.Fatal(err)
	}
	return d
}

// waitFor polls until done returns true, for 6 s at most.
func (f *testFleet) waitFor(done func() bool) {
	for range 300 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("not true within 6 s")
}

func (f *testFleet) start(name, service, centre, control string) {
	inbound := f.addressOf(name, portInbound)
	if f.held[name] != nil {
		inbound = f.addressOf(name, portHeldInbound)
	}
	s := schema.Sidecar_builder{
		Name:     proto.String(name),
		Service:  proto.String(service),
		Centre:   proto.String(centre),
		Backend:  proto.String(f.addressOf(name, portBackend)),
		Outbound: proto.String(f.addressOf(name, portOutbound)),
		Inbound:  proto.String(inbound),
		Ready:    proto.String(f.addressOf(name, portReady)),
		Control:  proto.String(control),
		Store:    proto.String(f.listener.Addr().String()),
		Link:     proto.Int64(f.link),
		Bounds: schema.Bounds_builder{
			Grace:       durationpb.New(f.grace),
			RetryRatio:  proto.Float64(0.2),
			RetryWindow: durationpb.New(10 * time.Second),
			RetrySlack:  proto.Float64(60),
			QuotaWindow: durationpb.New(5 * time.Second),
			QuotaOver:   proto.Float64(0.25),
			QuotaSlack:  proto.Float64(20),
			ColdOver:    proto.Float64(1.5),
			ColdSlack:   proto.Float64(5),
		}.Build(),
	}.Build()
	p := sidecar.NewPlatform(panickyHeaders{panics: &f.panics}, platform.NewStore(f.listener.Addr().String()), panickyDecoder{platform.NewDecoder()},
		platform.OperatorPrefix, platform.InstancePrefix)
	d, err := sidecar.New(s, p, logs.NewWriter(f.out), !f.restarted)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := d.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.daemons[name] = d
}

// request sends a request and formats the response. args are get|post|upload|chunked, the
// machine, the path, and optionally an API key or nokey.
func (f *testFleet) request(args []string) string { return f.send(f.newRequest(args), !f.untimed) }

func (f *testFleet) newRequest(args []string) *http.Request {
	f.requests++
	method, body := http.MethodGet, io.Reader(nil)
	switch args[0] {
	case "head":
		method = http.MethodHead
	case "post":
		method, body = http.MethodPost, strings.NewReader(strings.Repeat("x", 50_000))
	case "upload":
		method, body = http.MethodPost, strings.NewReader(strings.Repeat("x", 2<<20))
	case "chunked":
		method, body = http.MethodPost, io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20)))
	}
	r, err := http.NewRequest(method, "http://"+f.addressOf(args[1], portOutbound)+args[2], body)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", f.t.Name(), f.requests))
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeoutOf(args[2]).Milliseconds(), 10))
	r.Header.Set("X-Tenant", "forged")
	r.Header.Set("X-Caller-Service", "forged")
	if f.listed != "" {
		r.Header.Set("Connection", f.listed)
		r.Header.Set("X-Private", "1")
	}
	switch {
	case len(args) > 3 && args[3] == "nokey":
	case len(args) > 3:
		r.Header.Set("Authorization", "Bearer "+args[3])
	default:
		r.Header.Set("Authorization", "Bearer "+callerKey)
	}
	return r
}

// timeoutOf returns the deadline that callers state for a path. That of /held/, /kept/ and /nested/
// is later than all else that happens in a script.
func timeoutOf(path string) time.Duration {
	switch verb, _, _ := strings.Cut(path[1:], "/"); verb {
	case "held", "kept", "nested":
		return 30 * time.Second
	case "long":
		return 5 * time.Second
	}
	return 800 * time.Millisecond
}

// lateAfter returns the time after which a response is printed as late.
func lateAfter(path string) time.Duration {
	if strings.HasPrefix(path, "/held/") || strings.HasPrefix(path, "/kept/") {
		return time.Second
	}
	return 500 * time.Millisecond
}

// send sends a request and formats the response, with whether it is late if timed is set.
func (f *testFleet) send(r *http.Request, timed bool) string {
	begin := time.Now()
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return "no answer"
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	formatted := fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(text)))
	if err != nil {
		formatted += " (cut)"
	}
	if r.Method == http.MethodHead {
		formatted += fmt.Sprintf("length %d", resp.ContentLength)
	}
	if resp.Header.Get("Retry-After") != "" {
		formatted += ", with Retry-After"
	}
	for _, name := range []string{"X-Private", "X-Late", "Link"} {
		if resp.Header.Get(name) != "" || resp.Trailer.Get(name) != "" {
			formatted += ", with " + name
		}
	}
	if timed && time.Since(begin) > lateAfter(r.URL.Path) {
		formatted += ", late"
	}
	return formatted
}

// receiveTimeout bounds the wait for a response on a connection. It is longer than the grace time of
// any script, so that it passes only where neither a response nor the end of the connection comes.
const receiveTimeout = 15 * time.Second

// receive reads the next response on the connection.
func (f *testFleet) receive() string {
	_ = f.conn.SetReadDeadline(time.Now().Add(receiveTimeout))
	resp, err := http.ReadResponse(f.reader, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "silence\n"
	}
	if err != nil {
		return "no answer\n"
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return "cut\n"
	}
	out := fmt.Sprintf("%s %d %s", resp.Header.Get("X-Request-Id"), resp.StatusCode, strings.TrimSpace(string(text)))
	if resp.Header.Get("Lycheehead-Report") != "" {
		out += ", for a daemon"
	}
	if resp.Close {
		out += ", closes"
	}
	return strings.TrimSpace(out) + "\n"
}

// metrics returns the lines of a daemon's metrics that begin with a text, sorted.
func (f *testFleet) metrics(machine, text string) string {
	resp, err := http.Get("http://" + f.addressOf(machine, portControl) + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	lines := slices.DeleteFunc(strings.SplitAfter(string(body), "\n"), func(line string) bool {
		return !strings.HasPrefix(line, text)
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// countApplied returns how often the log says that a configuration version is in use.
func (f *testFleet) countApplied(version int) int {
	n := 0
	for line := range strings.SplitSeq(f.out.String(), "\n") {
		if strings.Contains(line, `"configuration version applied"`) && strings.Contains(line, fmt.Sprintf(`"version":%d`, version)) {
			n++
		}
	}
	return n
}

func (f *testFleet) drainSeen() string {
	var out strings.Builder
	for n := range 9 {
		if b, ok := f.backends["m"+strconv.Itoa(n+1)]; ok {
			for _, line := range b.drainSeen() {
				fmt.Fprintf(&out, "%s: %s\n", b.id, line)
			}
		}
	}
	return out.String()
}
