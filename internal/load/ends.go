package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

const (
	// maxQueryAttempts and askPause are for backend servers that are down just now.
	maxQueryAttempts = 20
	queryRetryDelay = 250 * time.Millisecond
	// settleTime is how long answers given up may still run.
	settleTime = 500 * time.Millisecond
)

// executions is how often backend servers executions each sending, by request.
type executions map[string]map[string]uint32

// verify compares what callers were told with what backend servers ran.
func (r *Runner) verify(ctx context.Context, report *schema.Report) error {
	if len(r.plan.GetBackends()) == 0 {
		return nil
	}
	sleepUntil(ctx, time.Now().Add(settleTime))
	all := make(executions)
	for _, address := range r.plan.GetBackends() {
		record := &schema.Record{}
		data, err := query(ctx, "http://"+address+"/admin/record")
		if err != nil {
			return fmt.Errorf("backend server %s: %w", address, err)
		}
		if err := protojson.Unmarshal(data, record); err != nil {
			return fmt.Errorf("backend server %s: %w", address, err)
		}
		all.add(record)
	}
	r.compareResults(all, report)
	return r.checkLeakedKeys(ctx, report)
}

func (a executions) add(record *schema.Record) {
	for _, e := range record.GetRan() {
		sends := a[e.GetId()]
		if sends == nil {
			sends = make(map[string]uint32)
			a[e.GetId()] = sends
		}
		sends[e.GetSend()] += e.GetTimes()
	}
}

func (r *Runner) compareResults(all executions, report *schema.Report) {
	once := make(map[string]bool)
	for _, s := range r.attempts {
		times := all[s.id][s.number]
		if s.atMostOnce {
			once[s.id] = true
		}
		switch {
		case !s.answered || s.duplicate:
		case s.outcome == caller.OutcomeRan && times == 0:
			report.SetLost(report.GetLost() + 1)
		case s.outcome == caller.OutcomeNotRun && times > 0:
			report.SetMisreported(report.GetMisreported() + 1)
		}
	}
	for id := range once {
		total := uint32(0)
		for _, times := range all[id] {
			total += times
		}
		if total > 1 {
			report.SetDoubled(report.GetDoubled() + 1)
		}
	}
}

// checkLeakedKeys looks for each key in all that the backend servers received.
func (r *Runner) checkLeakedKeys(ctx context.Context, report *schema.Report) error {
	for _, s := range r.plan.GetStreams() {
		if s.GetKey() == "" {
			continue
		}
		for _, address := range r.plan.GetBackends() {
			data, err := query(ctx, "http://"+address+"/admin/seen?text="+url.QueryEscape(s.GetKey()))
			if err != nil {
				return fmt.Errorf("backend server %s: %w", address, err)
			}
			if string(data) != "false" {
				report.SetLeaked(report.GetLeaked() + 1)
			}
		}
	}
	return nil
}

func query(ctx context.Context, url string) ([]byte, error) {
	var last error
	for range maxQueryAttempts {
		data, err := get(ctx, url)
		if err == nil {
			return data, nil
		}
		last = err
		if !sleepUntil(ctx, time.Now().Add(queryRetryDelay)) {
			break
		}
	}
	return nil, last
}

func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return data, nil
}
