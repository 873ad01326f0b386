package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// The percentiles that are reported.
const (
	medianPercentile = 50
	highPercentile   = 99
)

func (r *Runner) report() *schema.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := schema.Report_builder{Crossed: proto.Uint64(r.mismatched), Reasons: r.reasons}.Build()
	for _, res := range r.results {
		out.SetTallies(append(out.GetTallies(), res.tally()))
	}
	for _, at := range slices.Sorted(maps.Keys(r.seconds)) {
		s := r.seconds[at]
		out.SetSeconds(append(out.GetSeconds(), schema.Second_builder{
			At:     proto.Uint32(at),
			Asked:  proto.Uint64(s.requests),
			Served: proto.Uint64(s.served),
		}.Build()))
	}
	return out
}

func (res *streamStats) tally() *schema.Tally {
	return schema.Tally_builder{
		Customer: proto.String(res.stream.GetCustomer()),
		Path:     proto.String(res.stream.GetPath()),
		Asked:    proto.Uint64(res.requests),
		Served:   proto.Uint64(res.served),
		Limited:  proto.Uint64(res.limited),
		Refused:  proto.Uint64(res.refused),
		Unknown:  proto.Uint64(res.unknown),
		Failed:   proto.Uint64(res.failed),
		P50:      proto.Uint64(uint64(res.latencies.ValueAtPercentile(medianPercentile))),
		P99:      proto.Uint64(uint64(res.latencies.ValueAtPercentile(highPercentile))),
		Worst:    proto.Uint64(uint64(res.latencies.Max())),
		Greedy:   proto.Bool(res.stream.GetGreedy()),
	}.Build()
}

// Violations returns how many promises the report shows as broken.
func Violations(r *schema.Report) uint64 {
	return r.GetLost() + r.GetDoubled() + r.GetMisreported() + r.GetLeaked() + r.GetCrossed()
}

// FormatTable writes a report for people to read.
func FormatTable(r *schema.Report) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "customer\tpath\tasked\tserved\tlimited\trefused\tunknown\tfailed\tp50 us\tp99 us\tworst us\t")
	for _, t := range r.GetTallies() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", t.GetCustomer(), t.GetPath(),
			t.GetAsked(), t.GetServed(), t.GetLimited(), t.GetRefused(), t.GetUnknown(), t.GetFailed(),
			t.GetP50(), t.GetP99(), t.GetWorst())
	}
	_ = w.Flush()
	for _, reason := range slices.Sorted(maps.Keys(r.GetReasons())) {
		_, _ = fmt.Fprintf(&b, "reason %q: %d\n", reason, r.GetReasons()[reason])
	}
	_, _ = fmt.Fprintf(&b, "lost %d, doubled %d, misreported %d, keys leaked %d, answers crossed or cut %d\n",
		r.GetLost(), r.GetDoubled(), r.GetMisreported(), r.GetLeaked(), r.GetCrossed())
	return b.String()
}
