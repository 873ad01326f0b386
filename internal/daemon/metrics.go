package daemon

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// reportInterval is how often metrics are passed to the reporter.
const reportInterval = time.Second

// metrics counts and exposes the metrics of one daemon.
type metrics struct {
	scope  tally.Scope
	closer io.Closer
	// handler exposes the metrics over HTTP.
	handler http.Handler
}

func newMetrics(name, centre string) *metrics {
	// A separate registry allows several daemons in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "lycheehead",
		Tags:            map[string]string{"slot": name, "centre": centre},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &metrics{scope: scope, closer: closer, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
}

func (m *metrics) close() { _ = m.closer.Close() }

func (m *metrics) recordCall(customer string, resp *Response, elapsed time.Duration) {
	tags := map[string]string{
		"customer": customer,
		"outcome":  resp.outcome.String(),
		"reason":   string(resp.reason),
	}
	m.scope.Tagged(tags).Counter("calls").Inc(1)
	if resp.outcome == caller.OutcomeRan {
		m.scope.Timer("call").Record(elapsed)
	}
}

func (m *metrics) increment(name string) { m.scope.Counter(name).Inc(1) }

func (m *metrics) setGauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
