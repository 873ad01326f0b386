package measure

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/load"
	"github.com/lycheehead/lycheehead/internal/schema"
)

const (
	percent = 100
	// recoveredAt is the part of a second's requests that counts as served.
	recoveredAt = 0.99
)

// RunOutput is what a run left behind in a folder: published, report.json, and the
// statuses idle-NAME.json, before-NAME.json and after-NAME.json of each daemon
// around a quiet time and around the changes.
type RunOutput struct {
	folder     string
	deployment string
	policy     string
	// quiet is the time between the idle and the before statuses, busy that
	// between before and after; lost is the second in which a data centre is
	// lost.
	quiet, busy time.Duration
	lost        int
}

// NewRunOutput returns the run in a folder.
func NewRunOutput(folder, deployment, policy string, quiet, busy time.Duration, lost int) RunOutput {
	return RunOutput{folder: folder, deployment: deployment, policy: policy, quiet: quiet, busy: busy, lost: lost}
}

// ComputeMeasure works out the measures.
func (r RunOutput) ComputeMeasure() (*schema.Measure, error) {
	m := schema.Measure_builder{Deployment: proto.String(r.deployment), Policy: proto.String(r.policy)}.Build()
	if err := r.converged(m); err != nil {
		return nil, fmt.Errorf("measure convergence: %w", err)
	}
	if err := r.control(m); err != nil {
		return nil, fmt.Errorf("measure control: %w", err)
	}
	report := &schema.Report{}
	if err := readJSON(filepath.Join(r.folder, "report.json"), report); err != nil {
		return nil, fmt.Errorf("measure service: %w", err)
	}
	r.service(m, report)
	customers(m, report)
	m.SetBroken(load.Broken(report))
	return m, nil
}

func (r RunOutput) converged(m *schema.Measure) error {
	published, err := ReadPublishTimes(filepath.Join(r.folder, "published"))
	if err != nil {
		return err
	}
	took, err := ConvergenceTimes(r.folder, published)
	if err != nil || len(took) == 0 {
		return err
	}
	slices.Sort(took)
	at := func(p int) float64 { return took[min(len(took)-1, len(took)*p/percent)].Seconds() * 1000 }
	m.SetChanges(uint32(len(published)))
	m.SetConvergedP50(at(50))
	m.SetConvergedP99(at(99))
	m.SetConvergedWorst(at(percent))
	return nil
}

// control compares the traffic of a time with changes with that of a quiet one.
func (r RunOutput) control(m *schema.Measure) error {
	paths, err := filepath.Glob(filepath.Join(r.folder, "after-*.json"))
	if err != nil {
		return fmt.Errorf("find statuses: %w", err)
	}
	var quiet, busy, calls float64
	for _, path := range paths {
		name := filepath.Base(path)[len("after-"):]
		var traffic [3]*schema.Traffic
		for i, when := range []string{"idle-", "before-", "after-"} {
			s := &schema.Status{}
			if err := readJSON(filepath.Join(r.folder, when+name), s); err != nil {
				return err
			}
			traffic[i] = s.GetTraffic()
		}
		quiet += bytesOf(traffic[1]) - bytesOf(traffic[0])
		busy += bytesOf(traffic[2]) - bytesOf(traffic[1])
		calls += float64(traffic[2].GetPlatformCalls() - traffic[1].GetPlatformCalls())
	}
	n := float64(len(paths))
	m.SetDaemons(uint32(len(paths)))
	if n == 0 || m.GetChanges() == 0 {
		return nil
	}
	idle := quiet / n / r.quiet.Seconds()
	m.SetIdleBytes(idle)
	m.SetControlBytes((busy/n - idle*r.busy.Seconds()) / float64(m.GetChanges()))
	m.SetPlatformCalls(calls / float64(m.GetChanges()))
	return nil
}

func bytesOf(t *schema.Traffic) float64 {
	return float64(t.GetControlIn() + t.GetControlOut() + t.GetPlatformIn())
}

func (r RunOutput) service(m *schema.Measure, report *schema.Report) {
	var asked, served, worst float64
	worst = percent
	for _, s := range report.GetSeconds() {
		asked += float64(s.GetAsked())
		served += float64(s.GetServed())
		part := float64(s.GetServed()) / float64(max(s.GetAsked(), 1))
		worst = min(worst, part*percent)
		if part < recoveredAt && int(s.GetAt()) >= r.lost {
			m.SetRecovered(float64(int(s.GetAt()) - r.lost + 1))
		}
	}
	m.SetServed(served / max(asked, 1) * percent)
	m.SetWorstSecond(worst)
}

func customers(m *schema.Measure, report *schema.Report) {
	asked, served, limited := make(map[string]float64), make(map[string]float64), 0.0
	total, slowest := 0.0, uint64(0)
	for _, t := range report.GetTallies() {
		if t.GetGreedy() {
			continue
		}
		asked[t.GetCustomer()] += float64(t.GetAsked())
		served[t.GetCustomer()] += float64(t.GetServed())
		limited += float64(t.GetLimited())
		total += float64(t.GetAsked())
		slowest = max(slowest, t.GetP99())
	}
	worst := float64(percent)
	for name, n := range asked {
		worst = min(worst, served[name]/n*percent)
	}
	m.SetWorstCustomer(worst)
	m.SetWorstCustomerP99(float64(slowest) / 1000)
	m.SetRefusedWithin(limited / max(total, 1) * percent)
}

func readJSON(path string, m proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read result: %w", err)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// ReadResults reads a file of JSON lines.
func ReadResults(path string) ([]*schema.Measure, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	defer func() { _ = f.Close() }()
	var all []*schema.Measure
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		m := &schema.Measure{}
		if err := protojson.Unmarshal(lines.Bytes(), m); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, m)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	return all, nil
}
