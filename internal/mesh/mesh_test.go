package mesh_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/load"
	"github.com/lycheehead/lycheehead/internal/mesh"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/standin"
)

// versionTimeout is the time within which a version must be in force everywhere.
const versionTimeout = 11 * time.Second

// TestMesh runs the scripts in testdata against daemons and stand-ins in this process. Each
// file has a mesh of its own.
func TestMesh(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := &scriptRunner{}
		t.Cleanup(r.close)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return r.runCommand(t, d)
		})
	})
}

// backendCapacity is the number of requests that a backend server runs at once.
const backendCapacity = 40

// scriptRunner runs the commands of a script against a mesh.
type scriptRunner struct {
	mesh *mesh.Mesh
	// bundle is the last published bundle that was not marked as bad.
	bundle *schema.Bundle
	// clients holds an HTTP client for each slot.
	clients map[string]*http.Client
	// idempotencyKeys maps the labels of a script to idempotency keys.
	idempotencyKeys map[string]string
	// pending holds the results of the calls in the background by the name that the script
	// gives them.
	pending map[string]chan string
}

func (r *scriptRunner) close() {
	if r.mesh != nil {
		r.mesh.Close()
	}
}

func (r *scriptRunner) runCommand(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "mesh":
		return r.startMesh(t, d)
	case "publish":
		return r.publish(t, d)
	case "call":
		return r.call(t, d)
	case "begin":
		return r.beginCall(t, d)
	case "await":
		return <-r.pending[d.CmdArgs[0].Key]
	case "leave":
		return r.beginStop(d.CmdArgs[0].Key)
	case "kill", "start", "stop", "crash":
		return r.controlSlots(t, d)
	case "platform":
		r.mesh.Platform().SetMode(standin.Mode(d.CmdArgs[0].Key))
		return "ok\n"
	case "wait":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait)
		return "ok\n"
	case "versions":
		return r.versions()
	case "slow":
		return r.slowPeer(t, d)
	case "found":
		return r.findText(d.CmdArgs[0].Key)
	case "load":
		return r.load(t, d)
	case "busy":
		return r.probeCentre(t, d)
	case "addresses":
		return shareAddresses(t, d)
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// startMesh creates a mesh and starts its daemons. Each line of the input is a slot "name
// service centre". The argument feed sets the feed policy; cut names a data centre whose
// daemons cannot reach the platform; settle is how long a daemon waits for its peers.
func (r *scriptRunner) startMesh(t *testing.T, d *datadriven.TestData) string {
	m, err := mesh.New(2000)
	if err != nil {
		t.Fatal(err)
	}
	r.mesh = m
	r.clients = make(map[string]*http.Client)
	r.idempotencyKeys = make(map[string]string)
	r.pending = make(map[string]chan string)
	feed, isolatedCentre := "", ""
	d.MaybeScanArgs(t, "feed", &feed)
	d.MaybeScanArgs(t, "cut", &isolatedCentre)
	m.IsolateFromPlatform(isolatedCentre)
	if feed != "" {
		m.SetPolicies(schema.Policies_builder{Feed: proto.String(feed)}.Build())
	}
	if d.HasArg("settle") {
		m.SetSettleTimeout(scanDuration(t, d, "settle"))
	}
	model := standin.NewBackendModel(backendCapacity, 120, 2*time.Millisecond).
		WithColdStart(500 * time.Millisecond).WithRestartDelay(200 * time.Millisecond)
	for line := range strings.SplitSeq(d.Input, "\n") {
		fields := strings.Fields(line)
		if _, err := m.AddSlot(fields[0], fields[1], fields[2], model); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.StartAll(); err != nil {
		t.Fatal(err)
	}
	return "ok\n"
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	var text string
	d.ScanArgs(t, name, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// slowPeer lists the daemon of a slot at an address that drops all packets for some time after
// the first one.
func (r *scriptRunner) slowPeer(t *testing.T, d *datadriven.TestData) string {
	slot := r.mesh.Slot(d.CmdArgs[0].Key)
	slot.SetListedPeerAddress(newRelay(t, slot.PeerAddress(), scanDuration(t, d, "for")))
	r.mesh.PublishInstances()
	return "ok\n"
}

// shareAddresses adds slots to several meshes at once, and returns the number of addresses for
// callers that more than one slot has.
func shareAddresses(t *testing.T, d *datadriven.TestData) string {
	var meshes, slots int
	d.ScanArgs(t, "meshes", &meshes)
	d.ScanArgs(t, "slots", &slots)
	seen, shared := make(map[string]bool), 0
	for range meshes {
		m, err := mesh.New(0)
		if err != nil {
			t.Fatal(err)
		}
		defer m.Close()
		for n := range slots {
			s, err := m.AddSlot(fmt.Sprint("s", n), "a", "muc", standin.NewBackendModel(1, 1, 0))
			if err != nil {
				t.Fatal(err)
			}
			if seen[s.CallerAddress()] {
				shared++
			}
			seen[s.CallerAddress()] = true
		}
	}
	return fmt.Sprintf("%d shared\n", shared)
}

// publish signs and publishes a version, and waits until it is in force everywhere. Each
// line of the input is a customer "customer name rate burst" or a route "route prefix
// service [open] [keyed]". Without input, the customers and routes of the previous version
// are kept.
//
// The argument out names a data centre or slot to take out of service, withdrawn a customer
// whose keys are removed, and without a service whose backend servers are left out. The
// argument unconfirmed sets the policy read_unconfirmed. The argument bad marks a version
// that the daemons are not expected to put in force; the result is then the list of versions
// that they serve after one second.
func (r *scriptRunner) publish(t *testing.T, d *datadriven.TestData) string {
	b := &schema.Bundle{}
	if r.bundle != nil {
		b = proto.CloneOf(r.bundle)
	}
	if d.Input != "" {
		r.parseInput(t, d.Input, b)
	}
	var version uint64
	var out, withdrawn, without string
	d.ScanArgs(t, "version", &version)
	d.MaybeScanArgs(t, "out", &out)
	d.MaybeScanArgs(t, "withdrawn", &withdrawn)
	d.MaybeScanArgs(t, "without", &without)
	if d.HasArg("unconfirmed") {
		bound := scanDuration(t, d, "unconfirmed")
		b.SetPolicy(schema.Policy_builder{ReadUnconfirmed: durationpb.New(bound)}.Build())
	}
	b.SetVersion(version)
	b.SetCentres(nil)
	b.SetBackends(nil)
	seen := make(map[string]bool)
	for _, slot := range r.mesh.Slots() {
		if !seen[slot.Centre()] {
			seen[slot.Centre()] = true
			b.SetCentres(append(b.GetCentres(), schema.DataCentre_builder{
				Name: proto.String(slot.Centre()), Region: proto.String("r"), Out: proto.Bool(slot.Centre() == out),
			}.Build()))
		}
		if slot.Service() != without {
			b.SetBackends(append(b.GetBackends(), schema.Backend_builder{
				Name: proto.String(slot.Name()), Service: proto.String(slot.Service()), Centre: proto.String(slot.Centre()),
				Slots: proto.Uint32(backendCapacity), Out: proto.Bool(slot.Name() == out),
			}.Build()))
		}
	}
	for _, c := range b.GetCustomers() {
		if c.GetName() == withdrawn {
			c.SetKeys(nil)
		}
	}
	if err := r.mesh.Publish(b); err != nil {
		t.Fatal(err)
	}
	if d.HasArg("bad") {
		time.Sleep(time.Second)
		return r.versions()
	}
	r.bundle = b
	if err := r.mesh.WaitForVersion(version, versionTimeout); err != nil {
		return err.Error() + "\n"
	}
	return "in force everywhere\n"
}

// parseInput replaces the customers and routes of a bundle by those of the input.
func (r *scriptRunner) parseInput(t *testing.T, input string, b *schema.Bundle) {
	b.SetRoutes(nil)
	b.SetCustomers(nil)
	for line := range strings.SplitSeq(input, "\n") {
		fields := strings.Fields(line)
		switch fields[0] {
		case "customer":
			var rate float64
			var burst uint32
			if _, err := fmt.Sscan(fields[2]+" "+fields[3], &rate, &burst); err != nil {
				t.Fatal(err)
			}
			digest := sha256.Sum256([]byte(customerKey(fields[1])))
			b.SetCustomers(append(b.GetCustomers(), schema.Customer_builder{
				Name: proto.String(fields[1]), Rate: proto.Float64(rate), Burst: proto.Uint32(burst),
				Keys: []string{hex.EncodeToString(digest[:])},
			}.Build()))
		case "route":
			b.SetRoutes(append(b.GetRoutes(), schema.Route_builder{
				Prefix: proto.String(fields[1]), Service: proto.String(fields[2]),
				Open: proto.Bool(strings.Contains(line, " open")), Keyed: proto.Bool(strings.Contains(line, " keyed")),
			}.Build()))
		}
	}
}

func customerKey(customer string) string { return "secret-of-" + customer }

// controlSlots kills, starts or stops the daemons of slots, or crashes their backend
// servers.
func (r *scriptRunner) controlSlots(t *testing.T, d *datadriven.TestData) string {
	for _, arg := range d.CmdArgs {
		slot := r.mesh.Slot(arg.Key)
		switch d.Cmd {
		case "kill":
			slot.Kill()
		case "crash":
			slot.Backend().Crash()
		case "stop":
			if err := slot.Stop(); err != nil {
				return err.Error() + "\n"
			}
		case "start":
			if err := slot.Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if d.Cmd == "start" {
		if err := r.mesh.WaitForVersion(1, versionTimeout); err != nil {
			return err.Error() + "\n"
		}
	}
	return "ok\n"
}

// beginStop stops the daemon of a slot in the background. The command await waits for its end.
func (r *scriptRunner) beginStop(name string) string {
	result := make(chan string, 1)
	r.pending[name] = result
	go func() {
		if err := r.mesh.Slot(name).Stop(); err != nil {
			result <- err.Error() + "\n"
			return
		}
		result <- "ok\n"
	}()
	return "ok\n"
}

// versions prints the versions that the running daemons serve.
func (r *scriptRunner) versions() string {
	var versions []string
	for _, slot := range r.mesh.Slots() {
		if d := slot.Daemon(); d != nil {
			versions = append(versions, fmt.Sprint(d.Status().GetVersion()))
		}
	}
	return strings.Join(versions, " ") + "\n"
}

// findText searches the requests that backend servers received and the logs of the daemons
// for a text.
func (r *scriptRunner) findText(text string) string {
	for _, slot := range r.mesh.Slots() {
		if slot.Backend().HasReceived(text) {
			return "at " + slot.Name() + "\n"
		}
	}
	if strings.Contains(r.mesh.LogOutput(), text) {
		return "in a log\n"
	}
	return "nowhere\n"
}

// probeCentre sends requests through all daemons in turn and prints whether the backend
// servers of a data centre ran any of them.
func (r *scriptRunner) probeCentre(t *testing.T, d *datadriven.TestData) string {
	var centre, path string
	d.ScanArgs(t, "centre", &centre)
	d.ScanArgs(t, "path", &path)
	before := r.totalRuns(centre)
	for i := range 60 {
		slot := r.mesh.Slots()[i%len(r.mesh.Slots())]
		resp, err := http.Get("http://" + slot.CallerAddress() + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	return fmt.Sprintf("%t\n", r.totalRuns(centre) > before)
}

// totalRuns returns how many requests the backend servers of a data centre have run.
func (r *scriptRunner) totalRuns(centre string) (total uint32) {
	for _, slot := range r.mesh.Slots() {
		if slot.Centre() != centre {
			continue
		}
		for _, run := range slot.Backend().Record().GetRan() {
			total += run.GetTimes()
		}
	}
	return total
}

// load sends requests through the running daemons for some time, and compares the answers
// with the records of the backend servers. Each customer sends at its rate times the factor.
// Meanwhile the lines of the input run as actions at even intervals.
func (r *scriptRunner) load(t *testing.T, d *datadriven.TestData) string {
	var durationText, least string
	factor := 1.0
	d.ScanArgs(t, "for", &durationText)
	d.MaybeScanArgs(t, "least", &least)
	if d.HasArg("factor") {
		d.ScanArgs(t, "factor", &factor)
	}
	duration, err := time.ParseDuration(durationText)
	if err != nil {
		t.Fatal(err)
	}
	plan := r.loadPlan(d, duration, factor)
	var actions []string
	if d.Input != "" {
		actions = strings.Split(d.Input, "\n")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, line := range actions {
			time.Sleep(duration / time.Duration(len(actions)+1))
			r.runAction(t, strings.Fields(line))
		}
	}()
	report, err := load.NewRunner(plan).Run(context.Background())
	<-done
	if err != nil {
		t.Fatal(err)
	}
	t.Log(load.FormatTable(report))
	return r.formatResult(report, duration, d)
}

// formatResult prints the counts of violations, customers that were served more than their
// limit and, with the argument least, whether that percentage of requests was served. The
// argument is for timed scripts, since that depends on the speed of the machine.
func (r *scriptRunner) formatResult(report *schema.Report, duration time.Duration, d *datadriven.TestData) string {
	out := fmt.Sprintf("lost %d, doubled %d, misreported %d, leaked %d, crossed %d\n",
		report.GetLost(), report.GetDoubled(), report.GetMisreported(), report.GetLeaked(), report.GetCrossed())
	asked, served := make(map[string]uint64), make(map[string]uint64)
	var totalAsked, totalServed uint64
	for _, tally := range report.GetTallies() {
		asked[tally.GetCustomer()] += tally.GetAsked()
		served[tally.GetCustomer()] += tally.GetServed()
		totalAsked += tally.GetAsked()
		totalServed += tally.GetServed()
	}
	for _, c := range r.bundle.GetCustomers() {
		limit := c.GetRate()*duration.Seconds() + float64(c.GetBurst())
		if float64(served[c.GetName()]) > limit {
			out += fmt.Sprintf("%s was served %d of at most %g\n", c.GetName(), served[c.GetName()], limit)
		}
	}
	if d.HasArg("least") {
		var least float64
		if _, err := fmt.Sscan(d.CmdArgs[argIndex(d, "least")].Vals[0], &least); err == nil {
			out += fmt.Sprintf("at least %g%% served: %t\n", least, float64(totalServed) >= least/100*float64(totalAsked))
		}
	}
	return out
}

// argIndex returns the index of the argument with the given name, or -1.
func argIndex(d *datadriven.TestData, name string) int {
	for i, arg := range d.CmdArgs {
		if arg.Key == name {
			return i
		}
	}
	return -1
}

// loadPlan returns a plan with a stream for each customer and route. With the argument post,
// every second route gets uploads with an idempotency key.
func (r *scriptRunner) loadPlan(d *datadriven.TestData, duration time.Duration, factor float64) *schema.Plan {
	p := schema.Plan_builder{
		Duration: durationpb.New(duration),
		Deadline: durationpb.New(5 * time.Second),
		Resends:  proto.Uint32(4),
		Seed:     proto.Uint64(1),
	}.Build()
	for _, slot := range r.mesh.Slots() {
		if slot.Daemon() != nil {
			p.SetTargets(append(p.GetTargets(), slot.CallerAddress()))
		}
		p.SetBackends(append(p.GetBackends(), slot.BackendAddress()))
	}
	for _, c := range r.bundle.GetCustomers() {
		for i, route := range r.bundle.GetRoutes() {
			method := http.MethodGet
			body := 0
			if d.HasArg("post") && i%2 == 1 {
				method, body = http.MethodPost, 100_000
			}
			p.SetStreams(append(p.GetStreams(), schema.Stream_builder{
				Customer: proto.String(c.GetName()), Key: proto.String(customerKey(c.GetName())), Path: proto.String(route.GetPrefix()),
				Rate: proto.Float64(factor * c.GetRate() / float64(len(r.bundle.GetRoutes()))), Method: proto.String(method),
				Body: proto.Uint32(uint32(body)), Once: proto.Bool(method == http.MethodPost),
			}.Build()))
		}
	}
	return p
}

// runAction runs one action while load sends requests.
func (r *scriptRunner) runAction(t *testing.T, fields []string) {
	slot := r.mesh.Slot(fields[1])
	switch fields[0] {
	case "kill":
		slot.Kill()
	case "crash":
		slot.Backend().Crash()
	case "stop":
		if err := slot.Stop(); err != nil {
			t.Error(err)
		}
	case "start":
		if err := slot.Start(); err != nil {
			t.Error(err)
		}
	case "out", "back":
		b := proto.CloneOf(r.bundle)
		b.SetVersion(b.GetVersion() + 1)
		for _, c := range b.GetCentres() {
			c.SetOut(fields[0] == "out" && c.GetName() == fields[1])
		}
		r.bundle = b
		if err := r.mesh.Publish(b); err != nil {
			t.Error(err)
		}
	case "platform":
		r.mesh.Platform().SetMode(standin.Mode(fields[1]))
	}
}
