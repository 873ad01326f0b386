package sidecar

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// reportInterval is the time between two updates of the Prometheus registry with the
// current values.
const reportInterval = 2 * time.Second

type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	// customers counts the responses by customer.
	customers *customerCounts
}

func newMetrics() *metrics {
	registry := promclient.NewRegistry()
	customers := newCustomerCounts()
	registry.MustRegister(customers)
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lycheehead",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope: scope, closer: closer, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), customers: customers}
}

func (m *metrics) close() error { return m.closer.Close() } //nolint:wrapcheck // nothing to add

// recordResponse counts a response and its latency.
func (m *metrics) recordResponse(req *request, resp *response, latency time.Duration) {
	s := m.scope.Tagged(map[string]string{
		"service": req.service,
		"outcome": resp.outcome.String(),
		"reason":  string(resp.reason),
	})
	s.Counter("requests").Inc(1)
	s.Timer("latency").Record(latency)
	if req.customer != "" {
		m.customers.record(req.customer, resp.reason)
	}
}

// refuser is a part of the daemon that refuses requests for lack of capacity.
type refuser string

const (
	// refusedByQueue: the backend server cannot serve the request in time.
	refusedByQueue refuser = "queue"
	// refusedToOthers: the request would have waited, and another backend server may take it.
	refusedToOthers refuser = "redirect"
	// refusedForCalls: calls of such requests find no capacity.
	refusedForCalls refuser = "calls"
	// refusedByBudget: the budget for resends allows no further attempt.
	refusedByBudget refuser = "resends"
)

// recordRefusal counts a request that was refused for lack of capacity.
func (m *metrics) recordRefusal(route string, by refuser) {
	m.scope.Tagged(map[string]string{"route": route, "by": string(by)}).Counter("refused").Inc(1)
}

// recordAdmission counts what the queue of the backend server did with a request.
func (m *metrics) recordAdmission(req *request, r *result, redirectable bool) {
	switch {
	case r.outcome == caller.OutcomeNotRun && r.reason == caller.ReasonOverload && !r.delivered && redirectable:
		m.recordRefusal(req.route, refusedToOthers)
	case r.outcome == caller.OutcomeNotRun && r.reason == caller.ReasonOverload && !r.delivered:
		m.recordRefusal(req.route, refusedByQueue)
	case r.outcome != caller.OutcomeNotRun && r.queued:
		m.scope.Tagged(map[string]string{"route": req.route}).Counter("delayed").Inc(1)
	}
}

func (m *metrics) gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
