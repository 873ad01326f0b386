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
	// Queries are retried because a backend server may be down temporarily.
	maxQueryAttempts = 20
	queryRetryDelay  = 250 * time.Millisecond
	// verifyDelay is the time before the verification in which requests whose callers have
	// given up may still run.
	verifyDelay = 500 * time.Millisecond
)

// executions counts how often the backend servers ran each attempt, by request id and
// number of the attempt.
type executions map[string]map[string]uint32

// verify compares the responses to callers with the executions that the backend servers
// recorded.
func (r *Runner) verify(ctx context.Context, report *schema.Report) error {
	if len(r.plan.GetBackends()) == 0 {
		return nil
	}
	sleepUntil(ctx, time.Now().Add(verifyDelay))
	ran := make(executions)
	for _, address := range r.plan.GetBackends() {
		record := &schema.Record{}
		data, err := query(ctx, "http://"+address+"/admin/record")
		if err != nil {
			return fmt.Errorf("backend server %s: %w", address, err)
		}
		if err := protojson.Unmarshal(data, record); err != nil {
			return fmt.Errorf("backend server %s: %w", address, err)
		}
		ran.add(record)
	}
	r.compareResults(ran, report)
	return r.checkLeakedKeys(ctx, report)
}

func (ran executions) add(record *schema.Record) {
	for _, e := range record.GetRan() {
		attempts := ran[e.GetId()]
		if attempts == nil {
			attempts = make(map[string]uint32)
			ran[e.GetId()] = attempts
		}
		attempts[e.GetSend()] += e.GetTimes()
	}
}

// compareResults counts violations: attempts reported as run that did not run (lost) or
// the reverse (misreported), and requests that ran more than once although they must not
// (doubled).
func (r *Runner) compareResults(ran executions, report *schema.Report) {
	atMostOnce := make(map[string]bool)
	for _, a := range r.attempts {
		times := ran[a.id][a.number]
		if a.atMostOnce {
			atMostOnce[a.id] = true
		}
		switch {
		case !a.answered || a.duplicate:
		case a.outcome == caller.OutcomeRan && times == 0:
			report.SetLost(report.GetLost() + 1)
		case a.outcome == caller.OutcomeNotRun && times > 0:
			report.SetMisreported(report.GetMisreported() + 1)
		}
	}
	for id := range atMostOnce {
		total := uint32(0)
		for _, times := range ran[id] {
			total += times
		}
		if total > 1 {
			report.SetDoubled(report.GetDoubled() + 1)
		}
	}
}

// checkLeakedKeys counts the API keys that the backend servers received in any request.
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
		return nil, fmt.Errorf("query: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	return data, nil
}
