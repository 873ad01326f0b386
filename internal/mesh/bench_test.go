package mesh_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/mesh"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/standin"
)

// BenchmarkAdded compares a call through two daemons with a direct one, and with
// one through two forwarders that decide nothing, in one run. It reports what
// each adds at the 50th and 99th percentile.
func BenchmarkAdded(b *testing.B) {
	m, err := mesh.New(0)
	if err != nil {
		b.Fatal(err)
	}
	defer m.Close()
	// The ingress is a slot of a service of its own, so each call crosses two
	// daemons.
	model := standin.NewBackendModel(9, 120, 0)
	for _, s := range [][3]string{{"ingress-1", "ingress", "muc"}, {"doku-1", "doku", "muc"}, {"doku-2", "doku", "muc"}} {
		if _, err := m.AddSlot(s[0], s[1], s[2], model); err != nil {
			b.Fatal(err)
		}
	}
	if err := m.Publish(benchBundle(m)); err != nil {
		b.Fatal(err)
	}
	if err := m.StartAll(); err != nil {
		b.Fatal(err)
	}
	if err := m.WaitForVersion(1, 10*time.Second); err != nil {
		b.Fatal(err)
	}
	through := hdrhistogram.New(1, 10_000_000, 3)
	direct := hdrhistogram.New(1, 10_000_000, 3)
	plain, stop := forwarder(b, "http://"+m.Slot("doku-1").BackendAddress())
	defer stop()
	plain, stop2 := forwarder(b, plain)
	defer stop2()
	for range warmup {
		timed(b, "http://"+m.Slot("ingress-1").CallerAddress()+"/open")
		timed(b, plain+"/open")
	}
	hops := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			time.Sleep(pace)
			d := timed(b, "http://"+m.Slot("doku-1").BackendAddress()+"/open")
			t := timed(b, "http://"+m.Slot("ingress-1").CallerAddress()+"/open")
			h := timed(b, plain+"/open")
			mu.Lock()
			_ = hops.RecordValue(h.Microseconds())
			_ = direct.RecordValue(d.Microseconds())
			_ = through.RecordValue(t.Microseconds())
			mu.Unlock()
		}
	})
	b.ReportMetric(float64(through.ValueAtPercentile(50)-direct.ValueAtPercentile(50)), "added-p50-us")
	b.ReportMetric(float64(through.ValueAtPercentile(99)-direct.ValueAtPercentile(99)), "added-p99-us")
	b.ReportMetric(float64(hops.ValueAtPercentile(50)-direct.ValueAtPercentile(50)), "plain-p50-us")
	b.ReportMetric(float64(hops.ValueAtPercentile(99)-direct.ValueAtPercentile(99)), "plain-p99-us")
	b.ReportMetric(float64(direct.ValueAtPercentile(99)), "direct-p99-us")
}

// client keeps a connection for each caller.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// pace is the pause of each caller between two rounds, which keeps the load
// moderate.
const pace = 2 * time.Millisecond

// warmup is how many calls come before those that count.
const warmup = 200

// forwarder is the naive baseline: an HTTP server that passes each request on
// and decides nothing.
func forwarder(b *testing.B, to string) (string, func()) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	address, stop, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, to+r.RequestURI, nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		resp, err := client.Do(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = resp.Body.Close() }()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	if err != nil {
		b.Fatal(err)
	}
	return "http://" + address, stop
}

func benchBundle(m *mesh.Mesh) *schema.Bundle {
	b := schema.Bundle_builder{
		Version: proto.Uint64(1),
		Centres: []*schema.DataCentre{schema.DataCentre_builder{Name: proto.String("muc")}.Build()},
		Routes: []*schema.Route{schema.Route_builder{
			Prefix: proto.String("/open"), Service: proto.String("doku"), Open: proto.Bool(true),
		}.Build()},
	}.Build()
	for _, s := range m.Slots() {
		service := "doku"
		if s.Name() == "ingress-1" {
			service = "ingress"
		}
		b.SetBackends(append(b.GetBackends(), schema.Backend_builder{
			Name: proto.String(s.Name()), Service: proto.String(service), Centre: proto.String("muc"), Slots: proto.Uint32(9),
		}.Build()))
	}
	return b
}

func timed(b *testing.B, url string) time.Duration {
	begin := time.Now()
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, resp.Header)
	}
	return time.Since(begin)
}
