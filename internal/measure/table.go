package measure

import (
	"fmt"
	"math"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// row describes a row of the table that FormatTable returns.
type row struct {
	name  string
	value func(*schema.Measure) float64
}

var rows = []row{
	{"converged p50 ms", (*schema.Measure).GetConvergedP50},
	{"converged p99 ms", (*schema.Measure).GetConvergedP99},
	{"converged worst ms", (*schema.Measure).GetConvergedWorst},
	{"control bytes a daemon and change", (*schema.Measure).GetControlBytes},
	{"control bytes a daemon and second, idle", (*schema.Measure).GetIdleBytes},
	{"platform calls a change", (*schema.Measure).GetPlatformCalls},
	{"served through a lost data centre %", (*schema.Measure).GetServed},
	{"worst second %", (*schema.Measure).GetWorstSecond},
	{"recovered after s", (*schema.Measure).GetRecovered},
	{"worst customer %", (*schema.Measure).GetWorstCustomer},
	{"worst customer p99 ms", (*schema.Measure).GetWorstCustomerP99},
	{"refused within the rate %", (*schema.Measure).GetRefusedWithin},
	{"broken promises", func(m *schema.Measure) float64 { return float64(m.GetBroken()) }},
	{"processor % of a core", (*schema.Measure).GetProcessor},
	{"memory MB", (*schema.Measure).GetMemory},
}

// FormatTable formats the results as columns of a table, each with its ratio to the first
// result.
func FormatTable(results []*schema.Measure) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(w, "measure\t")
	for _, m := range results {
		_, _ = fmt.Fprintf(w, "%s %s\tratio\t", m.GetDeployment(), m.GetPolicy())
	}
	_, _ = fmt.Fprintln(w)
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t", r.name)
		for _, m := range results {
			_, _ = fmt.Fprintf(w, "%.2f\t%s\t", r.value(m), ratio(r.value(m), r.value(results[0])))
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
	return b.String()
}

func ratio(v, first float64) string {
	if first == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", v/first)
}

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// PlotServed plots the percentage of requests that were served in each second. Requests
// of streams that exceed their customer's rate are not included. The
// extension of the path determines the format of the file.
func PlotServed(path string, report *schema.Report) error {
	p := plot.New()
	p.Title.Text = "Served share of the requests within the rate limits"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "percent"
	p.Y.Min, p.Y.Max = 0, percent
	points := make(plotter.XYs, 0, len(report.GetSeconds()))
	for _, s := range report.GetSeconds() {
		share := float64(s.GetServed()) / math.Max(float64(s.GetAsked()), 1)
		points = append(points, plotter.XY{X: float64(s.GetAt()), Y: share * percent})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Add(line)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// ReadReport reads a report of the load tool in JSON.
func ReadReport(path string) (*schema.Report, error) {
	report := &schema.Report{}
	return report, readJSON(path, report)
}
