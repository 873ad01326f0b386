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

// BenchmarkAdded measures the latency that two daemons add to a direct call, and for
// comparison the latency that two plain forwarders add, in the same run. It reports the
// 50th and the 99th percentile.
func BenchmarkAdded(b *testing.B) {
	m, err := mesh.New(0)
	if err != nil {
		b.Fatal(err)
	}
	defer m.Close()
	// The ingress belongs to another service, so that each call passes two daemons.
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
	meshLatency := hdrhistogram.New(1, 10_000_000, 3)
	directLatency := hdrhistogram.New(1, 10_000_000, 3)
	forwarderURL, stop := startForwarder(b, "http://"+m.Slot("doku-1").BackendAddress())
	defer stop()
	forwarderURL, stopSecond := startForwarder(b, forwarderURL)
	defer stopSecond()
	for range warmupRounds {
		timeGet(b, "http://"+m.Slot("ingress-1").CallerAddress()+"/open")
		timeGet(b, forwarderURL+"/open")
	}
	forwarderLatency := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			time.Sleep(roundInterval)
			direct := timeGet(b, "http://"+m.Slot("doku-1").BackendAddress()+"/open")
			viaMesh := timeGet(b, "http://"+m.Slot("ingress-1").CallerAddress()+"/open")
			forwarded := timeGet(b, forwarderURL+"/open")
			mu.Lock()
			_ = forwarderLatency.RecordValue(forwarded.Microseconds())
			_ = directLatency.RecordValue(direct.Microseconds())
			_ = meshLatency.RecordValue(viaMesh.Microseconds())
			mu.Unlock()
		}
	})
	b.ReportMetric(float64(meshLatency.ValueAtPercentile(50)-directLatency.ValueAtPercentile(50)), "added-p50-us")
	b.ReportMetric(float64(meshLatency.ValueAtPercentile(99)-directLatency.ValueAtPercentile(99)), "added-p99-us")
	b.ReportMetric(float64(forwarderLatency.ValueAtPercentile(50)-directLatency.ValueAtPercentile(50)), "plain-p50-us")
	b.ReportMetric(float64(forwarderLatency.ValueAtPercentile(99)-directLatency.ValueAtPercentile(99)), "plain-p99-us")
	b.ReportMetric(float64(directLatency.ValueAtPercentile(99)), "direct-p99-us")
}

// client keeps enough idle connections for all callers.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// roundInterval is the pause of each caller before a round, which keeps the load moderate.
const roundInterval = 2 * time.Millisecond

// warmupRounds is the number of rounds of calls before the measurement.
const warmupRounds = 200

// startForwarder starts the naive baseline: an HTTP server that forwards each request
// to the target unconditionally. It returns its URL and a function that stops it.
func startForwarder(b *testing.B, target string) (string, func()) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	address, stop, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.RequestURI, nil)
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

// timeGet returns how long a GET request takes, including its body.
func timeGet(b *testing.B, url string) time.Duration {
	start := time.Now()
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
	return time.Since(start)
}
