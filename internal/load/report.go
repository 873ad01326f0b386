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

// Reported percentiles of the latency.
const (
	medianPercentile = 50
	highPercentile   = 99
)

func (r *Runner) report() *schema.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := schema.Report_builder{Crossed: proto.Uint64(r.mismatched), Reasons: r.reasons}.Build()
	for _, stats := range r.streams {
		report.SetTallies(append(report.GetTallies(), stats.tally()))
	}
	for _, at := range slices.Sorted(maps.Keys(r.seconds)) {
		s := r.seconds[at]
		report.SetSeconds(append(report.GetSeconds(), schema.Second_builder{
			At:     proto.Uint32(at),
			Asked:  proto.Uint64(s.requests),
			Served: proto.Uint64(s.served),
		}.Build()))
	}
	return report
}

func (st *streamStats) tally() *schema.Tally {
	return schema.Tally_builder{
		Customer: proto.String(st.stream.GetCustomer()),
		Path:     proto.String(st.stream.GetPath()),
		Asked:    proto.Uint64(st.requests),
		Served:   proto.Uint64(st.served),
		Limited:  proto.Uint64(st.limited),
		Refused:  proto.Uint64(st.refused),
		Unknown:  proto.Uint64(st.unknown),
		Failed:   proto.Uint64(st.failed),
		P50:      proto.Uint64(uint64(st.latencies.ValueAtPercentile(medianPercentile))),
		P99:      proto.Uint64(uint64(st.latencies.ValueAtPercentile(highPercentile))),
		Worst:    proto.Uint64(uint64(st.latencies.Max())),
		Greedy:   proto.Bool(st.stream.GetGreedy()),
	}.Build()
}

// Violations returns the number of violated guarantees in the report.
func Violations(r *schema.Report) uint64 {
	return r.GetLost() + r.GetDoubled() + r.GetMisreported() + r.GetLeaked() + r.GetCrossed()
}

// FormatTable formats a report as a text table.
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
