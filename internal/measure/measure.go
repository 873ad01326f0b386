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
	// recoveredShare is the share of the requests in a second that must be served for
	// the service to be considered recovered.
	recoveredShare = 0.99
)

// RunOutput is the output of a run in a directory. It consists of the publish times in
// published, the report of the load tool in report.json, the logs daemon-*.log, and three
// statuses of each daemon: idle-NAME.json and before-NAME.json at the start and the end of
// a period without changes, and after-NAME.json at the end of the period with changes that
// follows.
type RunOutput struct {
	dir string
	// deployment and policy label the result.
	deployment, policy string
	// quietDuration is the time between the idle and the before statuses, busyDuration
	// the time between the before and the after statuses.
	quietDuration, busyDuration time.Duration
	// lossSecond is the second of the run in which a data centre fails.
	lossSecond int
}

// NewRunOutput returns the output of a run in a directory.
func NewRunOutput(dir, deployment, policy string, quietDuration, busyDuration time.Duration, lossSecond int) RunOutput {
	return RunOutput{
		dir: dir, deployment: deployment, policy: policy,
		quietDuration: quietDuration, busyDuration: busyDuration, lossSecond: lossSecond,
	}
}

// ComputeMeasure reads the output and computes the measures.
func (r RunOutput) ComputeMeasure() (*schema.Measure, error) {
	m := schema.Measure_builder{Deployment: proto.String(r.deployment), Policy: proto.String(r.policy)}.Build()
	if err := r.setConvergence(m); err != nil {
		return nil, fmt.Errorf("measure convergence: %w", err)
	}
	if err := r.setControlTraffic(m); err != nil {
		return nil, fmt.Errorf("measure control traffic: %w", err)
	}
	report := &schema.Report{}
	if err := readJSON(filepath.Join(r.dir, "report.json"), report); err != nil {
		return nil, fmt.Errorf("measure served requests: %w", err)
	}
	r.setServed(m, report)
	setCustomers(m, report)
	m.SetBroken(load.Violations(report))
	return m, nil
}

func (r RunOutput) setConvergence(m *schema.Measure) error {
	published, err := ReadPublishTimes(filepath.Join(r.dir, "published"))
	if err != nil {
		return err
	}
	times, err := ConvergenceTimes(r.dir, published)
	if err != nil || len(times) == 0 {
		return err
	}
	slices.Sort(times)
	percentileMs := func(p int) float64 { return times[min(len(times)-1, len(times)*p/percent)].Seconds() * 1000 }
	m.SetChanges(uint32(len(published)))
	m.SetConvergedP50(percentileMs(50))
	m.SetConvergedP99(percentileMs(99))
	m.SetConvergedWorst(percentileMs(percent))
	return nil
}

// setControlTraffic sets the control traffic and the platform calls per change. The traffic
// without changes, which is measured in the quiet period, is subtracted from the traffic of
// the period with changes.
func (r RunOutput) setControlTraffic(m *schema.Measure) error {
	paths, err := filepath.Glob(filepath.Join(r.dir, "after-*.json"))
	if err != nil {
		return fmt.Errorf("find statuses: %w", err)
	}
	var quietBytes, busyBytes, calls float64
	for _, path := range paths {
		name := filepath.Base(path)[len("after-"):]
		var traffic [3]*schema.Traffic
		for i, prefix := range []string{"idle-", "before-", "after-"} {
			s := &schema.Status{}
			if err := readJSON(filepath.Join(r.dir, prefix+name), s); err != nil {
				return err
			}
			traffic[i] = s.GetTraffic()
		}
		quietBytes += controlBytes(traffic[1]) - controlBytes(traffic[0])
		busyBytes += controlBytes(traffic[2]) - controlBytes(traffic[1])
		calls += float64(traffic[2].GetPlatformCalls() - traffic[1].GetPlatformCalls())
	}
	daemons := float64(len(paths))
	m.SetDaemons(uint32(len(paths)))
	if daemons == 0 || m.GetChanges() == 0 {
		return nil
	}
	idleRate := quietBytes / daemons / r.quietDuration.Seconds()
	m.SetIdleBytes(idleRate)
	m.SetControlBytes((busyBytes/daemons - idleRate*r.busyDuration.Seconds()) / float64(m.GetChanges()))
	m.SetPlatformCalls(calls / float64(m.GetChanges()))
	return nil
}

func controlBytes(t *schema.Traffic) float64 {
	return float64(t.GetControlIn() + t.GetControlOut() + t.GetPlatformIn())
}

// setServed sets the share of requests served, overall and in the worst second, and the
// seconds from the loss of the data centre until the last second that is below
// recoveredShare.
func (r RunOutput) setServed(m *schema.Measure, report *schema.Report) {
	var asked, served, worst float64
	worst = percent
	for _, s := range report.GetSeconds() {
		asked += float64(s.GetAsked())
		served += float64(s.GetServed())
		share := float64(s.GetServed()) / float64(max(s.GetAsked(), 1))
		worst = min(worst, share*percent)
		if share < recoveredShare && int(s.GetAt()) >= r.lossSecond {
			m.SetRecovered(float64(int(s.GetAt()) - r.lossSecond + 1))
		}
	}
	m.SetServed(served / max(asked, 1) * percent)
	m.SetWorstSecond(worst)
}

// setCustomers sets the measures of the worst-served customer and the percentage of
// requests that were rejected by a rate limit. Greedy streams, which exceed the rates of
// their customers, are excluded.
func setCustomers(m *schema.Measure, report *schema.Report) {
	asked, served, limited := make(map[string]float64), make(map[string]float64), 0.0
	total, worstP99 := 0.0, uint64(0)
	for _, t := range report.GetTallies() {
		if t.GetGreedy() {
			continue
		}
		asked[t.GetCustomer()] += float64(t.GetAsked())
		served[t.GetCustomer()] += float64(t.GetServed())
		limited += float64(t.GetLimited())
		total += float64(t.GetAsked())
		worstP99 = max(worstP99, t.GetP99())
	}
	worst := float64(percent)
	for name, n := range asked {
		worst = min(worst, served[name]/n*percent)
	}
	m.SetWorstCustomer(worst)
	m.SetWorstCustomerP99(float64(worstP99) / 1000)
	m.SetRefusedWithin(limited / max(total, 1) * percent)
}

func readJSON(path string, m proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// ReadResults reads a file of results, one per line in JSON.
func ReadResults(path string) ([]*schema.Measure, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	defer func() { _ = f.Close() }()
	var all []*schema.Measure
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
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
