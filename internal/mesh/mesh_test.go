package mesh_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/callerhttp"
	"github.com/lycheehead/lycheehead/internal/load"
	"github.com/lycheehead/lycheehead/internal/mesh"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/standin"
)

// within is how long a version may take to be in force everywhere.
const within = 11 * time.Second

// TestMesh runs scripts against daemons with stand-ins around them. Each file is
// one mesh.
func TestMesh(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		t.Cleanup(s.close)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.step(t, d)
		})
	})
}

// slots is how many requests a backend server runs at once.
const slots = 40

// script is a mesh under test.
type script struct {
	mesh    *mesh.Mesh
	bundle  *schema.Bundle
	clients map[string]*http.Client
	keys    map[string]string
}

func (s *script) close() {
	if s.mesh != nil {
		s.mesh.Close()
	}
}

func (s *script) step(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "mesh":
		return s.build(t, d)
	case "publish":
		return s.publish(t, d)
	case "call":
		return s.call(t, d)
	case "kill", "start", "stop", "crash":
		return s.operate(t, d)
	case "platform":
		s.mesh.Platform().SetMode(standin.Mode(d.CmdArgs[0].Key))
		return "ok\n"
	case "wait":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait)
		return "ok\n"
	case "versions":
		return s.versions()
	case "found":
		return s.found(d.CmdArgs[0].Key)
	case "load":
		return s.load(t, d)
	case "busy":
		return s.busy(t, d)
	}
	t.Fatalf("there is no command %q", d.Cmd)
	return ""
}

// build starts a mesh. Each line of the input is a slot: name service centre.
func (s *script) build(t *testing.T, d *datadriven.TestData) string {
	m, err := mesh.New(2000)
	if err != nil {
		t.Fatal(err)
	}
	s.mesh = m
	s.clients = make(map[string]*http.Client)
	s.keys = make(map[string]string)
	feed, cut := "", ""
	d.MaybeScanArgs(t, "feed", &feed)
	d.MaybeScanArgs(t, "cut", &cut)
	m.IsolateFromPlatform(cut)
	if feed != "" {
		m.SetPolicies(schema.Policies_builder{Feed: proto.String(feed)}.Build())
	}
	model := standin.NewBackendModel(slots, 120, 2*time.Millisecond).WithColdStart(500 * time.Millisecond).WithRestartDelay(200 * time.Millisecond)
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		if _, err := m.AddSlot(f[0], f[1], f[2], model); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.StartAll(); err != nil {
		t.Fatal(err)
	}
	return "ok\n"
}

// publish signs a version off and publishes it. Each line of the input is a
// customer "customer name rate burst" or a route "route prefix service [open]
// [keyed]"; without input those of the version before stay.
func (s *script) publish(t *testing.T, d *datadriven.TestData) string {
	b := &schema.Bundle{}
	if s.bundle != nil {
		b = proto.CloneOf(s.bundle)
	}
	if d.Input != "" {
		s.read(t, d.Input, b)
	}
	var version uint64
	var out, withdrawn, without string
	d.ScanArgs(t, "version", &version)
	d.MaybeScanArgs(t, "out", &out)
	d.MaybeScanArgs(t, "withdrawn", &withdrawn)
	d.MaybeScanArgs(t, "without", &without)
	if unconfirmed := ""; d.HasArg("unconfirmed") {
		d.ScanArgs(t, "unconfirmed", &unconfirmed)
		bound, err := time.ParseDuration(unconfirmed)
		if err != nil {
			t.Fatal(err)
		}
		b.SetPolicy(schema.Policy_builder{ReadUnconfirmed: durationpb.New(bound)}.Build())
	}
	b.SetVersion(version)
	b.SetCentres(nil)
	b.SetBackends(nil)
	seen := make(map[string]bool)
	for _, slot := range s.mesh.Slots() {
		if !seen[slot.Centre()] {
			seen[slot.Centre()] = true
			b.SetCentres(append(b.GetCentres(), schema.DataCentre_builder{
				Name: proto.String(slot.Centre()), Region: proto.String("r"), Out: proto.Bool(slot.Centre() == out),
			}.Build()))
		}
		if slot.Service() != without {
			b.SetBackends(append(b.GetBackends(), schema.Backend_builder{
				Name: proto.String(slot.Name()), Service: proto.String(slot.Service()), Centre: proto.String(slot.Centre()),
				Slots: proto.Uint32(slots), Out: proto.Bool(slot.Name() == out),
			}.Build()))
		}
	}
	for _, c := range b.GetCustomers() {
		if c.GetName() == withdrawn {
			c.SetKeys(nil)
		}
	}
	if err := s.mesh.Publish(b); err != nil {
		t.Fatal(err)
	}
	if d.HasArg("bad") {
		time.Sleep(time.Second)
		return s.versions()
	}
	s.bundle = b
	if err := s.mesh.WaitForVersion(version, within); err != nil {
		return err.Error() + "\n"
	}
	return "in force everywhere\n"
}

func (s *script) read(t *testing.T, input string, b *schema.Bundle) {
	b.SetRoutes(nil)
	b.SetCustomers(nil)
	for line := range strings.SplitSeq(input, "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "customer":
			var rate float64
			var burst uint32
			if _, err := fmt.Sscan(f[2]+" "+f[3], &rate, &burst); err != nil {
				t.Fatal(err)
			}
			digest := sha256.Sum256([]byte(keyOf(f[1])))
			b.SetCustomers(append(b.GetCustomers(), schema.Customer_builder{
				Name: proto.String(f[1]), Rate: proto.Float64(rate), Burst: proto.Uint32(burst),
				Keys: []string{hex.EncodeToString(digest[:])},
			}.Build()))
		case "route":
			b.SetRoutes(append(b.GetRoutes(), schema.Route_builder{
				Prefix: proto.String(f[1]), Service: proto.String(f[2]),
				Open: proto.Bool(strings.Contains(line, " open")), Keyed: proto.Bool(strings.Contains(line, " keyed")),
			}.Build()))
		}
	}
}

func keyOf(customer string) string { return "secret-of-" + customer }

// call makes one request and prints what its caller is told.
func (s *script) call(t *testing.T, d *datadriven.TestData) string {
	var to, path, customer, once, next, work string
	method := http.MethodGet
	body := 0
	d.ScanArgs(t, "to", &to)
	d.ScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "for", &customer)
	d.MaybeScanArgs(t, "method", &method)
	d.MaybeScanArgs(t, "once", &once)
	d.MaybeScanArgs(t, "next", &next)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "work", &work)
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.mesh.Slot(to).CallerAddress()+path, bytes.NewReader(make([]byte, body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(standin.RequestIDHeader, d.Pos)
	req.Header.Set(standin.ServiceTimeHeader, work)
	if customer != "" {
		req.Header.Set(callerhttp.KeyHeader, keyOf(customer))
		req.Header.Set("X-Forwarded-Key", keyOf(customer))
	}
	if once != "" {
		req.Header.Set(callerhttp.IdempotencyHeader, s.idempotency(once))
	}
	if next != "" {
		req.Header.Set(standin.NestedPathsHeader, next)
	}
	if d.HasArg("crash") {
		req.Header.Set(standin.CrashHeader, "1")
	}
	// One client for each daemon keeps its connection from call to call.
	client := s.clients[to]
	if client == nil {
		client = &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
		s.clients[to] = client
	}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer\n"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut\n"
	}
	reason := resp.Header.Get(callerhttp.ReasonHeader)
	if resp.Header.Get(standin.BodyDigestHeader) != "" {
		_, reason, _ = strings.Cut(strings.TrimSpace(string(text)), " for ")
		reason = "for " + reason
	}
	return fmt.Sprintf("%d %s %s\n", resp.StatusCode, resp.Header.Get(callerhttp.OutcomeHeader), reason)
}

// idempotency returns the idempotency key of a label, made at its first use.
func (s *script) idempotency(label string) string {
	if s.keys[label] == "" {
		s.keys[label] = uuid.Must(uuid.NewV7()).String()
	}
	return s.keys[label]
}

// operate kills, starts or stops daemons, or crashes backend servers.
func (s *script) operate(t *testing.T, d *datadriven.TestData) string {
	for _, arg := range d.CmdArgs {
		slot := s.mesh.Slot(arg.Key)
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
		if err := s.mesh.WaitForVersion(1, within); err != nil {
			return err.Error() + "\n"
		}
	}
	return "ok\n"
}

func (s *script) versions() string {
	var list []string
	for _, slot := range s.mesh.Slots() {
		if d := slot.Daemon(); d != nil {
			list = append(list, fmt.Sprint(d.Status().GetVersion()))
		}
	}
	return strings.Join(list, " ") + "\n"
}

// found looks for a text in all that backend servers received and daemons
// logged.
func (s *script) found(text string) string {
	for _, slot := range s.mesh.Slots() {
		if slot.Backend().HasReceived(text) {
			return "at " + slot.Name() + "\n"
		}
	}
	if strings.Contains(s.mesh.LogOutput(), text) {
		return "in a log\n"
	}
	return "nowhere\n"
}

// busy tells whether the backend servers of a data centre run anything while
// requests are made.
func (s *script) busy(t *testing.T, d *datadriven.TestData) string {
	var centre, path string
	d.ScanArgs(t, "centre", &centre)
	d.ScanArgs(t, "path", &path)
	before := s.ran(centre)
	for i := range 60 {
		slot := s.mesh.Slots()[i%len(s.mesh.Slots())]
		resp, err := http.Get("http://" + slot.CallerAddress() + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	return fmt.Sprintf("%t\n", s.ran(centre) > before)
}

func (s *script) ran(centre string) (total uint32) {
	for _, slot := range s.mesh.Slots() {
		if slot.Centre() != centre {
			continue
		}
		for _, r := range slot.Backend().Record().GetRan() {
			total += r.GetTimes()
		}
	}
	return total
}

// load drives requests for a while through the daemons that run, while the
// input's lines are carried out one after the other, and checks both ends. Each
// customer asks at its rate times the factor. The input's lines are commands of
// this script with a pause before each.
func (s *script) load(t *testing.T, d *datadriven.TestData) string {
	var duration, least string
	factor := 1.0
	d.ScanArgs(t, "for", &duration)
	d.MaybeScanArgs(t, "least", &least)
	if d.HasArg("factor") {
		d.ScanArgs(t, "factor", &factor)
	}
	length, err := time.ParseDuration(duration)
	if err != nil {
		t.Fatal(err)
	}
	plan := s.plan(d, length, factor)
	var actions []string
	if d.Input != "" {
		actions = strings.Split(d.Input, "\n")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, line := range actions {
			time.Sleep(length / time.Duration(len(actions)+1))
			s.act(t, strings.Fields(line))
		}
	}()
	report, err := load.NewRunner(plan).Run(context.Background())
	<-done
	if err != nil {
		t.Fatal(err)
	}
	t.Log(load.Table(report))
	return s.judge(report, length, d)
}

// judge prints what does not depend on the machine's speed.
func (s *script) judge(r *schema.Report, length time.Duration, d *datadriven.TestData) string {
	out := fmt.Sprintf("lost %d, doubled %d, misreported %d, leaked %d, crossed %d\n",
		r.GetLost(), r.GetDoubled(), r.GetMisreported(), r.GetLeaked(), r.GetCrossed())
	asked, served := make(map[string]uint64), make(map[string]uint64)
	var allAsked, allServed uint64
	for _, tally := range r.GetTallies() {
		asked[tally.GetCustomer()] += tally.GetAsked()
		served[tally.GetCustomer()] += tally.GetServed()
		allAsked += tally.GetAsked()
		allServed += tally.GetServed()
	}
	for _, c := range s.bundle.GetCustomers() {
		most := c.GetRate()*length.Seconds() + float64(c.GetBurst())
		if float64(served[c.GetName()]) > most {
			out += fmt.Sprintf("%s was served %d of at most %g\n", c.GetName(), served[c.GetName()], most)
		}
	}
	if d.HasArg("least") {
		var least float64
		if _, err := fmt.Sscan(d.CmdArgs[argIndex(d, "least")].Vals[0], &least); err == nil {
			out += fmt.Sprintf("at least %g%% served: %t\n", least, float64(allServed) >= least/100*float64(allAsked))
		}
	}
	return out
}

func argIndex(d *datadriven.TestData, name string) int {
	for i, arg := range d.CmdArgs {
		if arg.Key == name {
			return i
		}
	}
	return -1
}

func (s *script) plan(d *datadriven.TestData, length time.Duration, factor float64) *schema.Plan {
	p := schema.Plan_builder{
		Duration: durationpb.New(length),
		Deadline: durationpb.New(5 * time.Second),
		Resends:  proto.Uint32(4),
		Seed:     proto.Uint64(1),
	}.Build()
	for _, slot := range s.mesh.Slots() {
		if slot.Daemon() != nil {
			p.SetTargets(append(p.GetTargets(), slot.CallerAddress()))
		}
		p.SetBackends(append(p.GetBackends(), slot.BackendAddress()))
	}
	for _, c := range s.bundle.GetCustomers() {
		for i, r := range s.bundle.GetRoutes() {
			method := http.MethodGet
			body := 0
			if d.HasArg("post") && i%2 == 1 {
				method, body = http.MethodPost, 100_000
			}
			p.SetStreams(append(p.GetStreams(), schema.Stream_builder{
				Customer: proto.String(c.GetName()), Key: proto.String(keyOf(c.GetName())), Path: proto.String(r.GetPrefix()),
				Rate: proto.Float64(factor * c.GetRate() / float64(len(s.bundle.GetRoutes()))), Method: proto.String(method),
				Body: proto.Uint32(uint32(body)), Once: proto.Bool(method == http.MethodPost),
			}.Build()))
		}
	}
	return p
}

// act carries out one action while load runs.
func (s *script) act(t *testing.T, f []string) {
	slot := s.mesh.Slot(f[1])
	switch f[0] {
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
		b := proto.CloneOf(s.bundle)
		b.SetVersion(b.GetVersion() + 1)
		for _, c := range b.GetCentres() {
			c.SetOut(f[0] == "out" && c.GetName() == f[1])
		}
		s.bundle = b
		if err := s.mesh.Publish(b); err != nil {
			t.Error(err)
		}
	case "platform":
		s.mesh.Platform().SetMode(standin.Mode(f[1]))
	}
}
