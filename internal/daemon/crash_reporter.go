package daemon

import (
	"errors"
	mrand "math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
)

// crashReportTimeout bounds one attempt to deliver a crash report to a daemon.
const crashReportTimeout = time.Second

// crashReporter sends the reports of crashes to other daemons as backend.CrashReports decides.
type crashReporter struct {
	*core
	reports *backend.CrashReports
	// changed holds a value if run is to ask for due reports again.
	changed chan struct{}
}

func newCrashReporter(c *core) *crashReporter {
	return &crashReporter{core: c, reports: backend.NewCrashReports(), changed: make(chan struct{}, 1)}
}

// report records a crash and begins to report it to daemons.
func (r *crashReporter) report(now time.Time, key backend.RequestKey, daemons []string) {
	// Random ids differ from those of the daemon's earlier processes. 0 means that there is none.
	id := max(mrand.Uint64(), 1) //nolint:gosec // not for secrets
	r.quarantine.RecordReport(now, r.self.Name(), id, key, 0)
	r.recordUndelivered(r.reports.Add(now, backend.NewCrashReport(id, key, now), daemons), "too many")
	r.wake()
}

func (r *crashReporter) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// run sends reports as they become due, until the daemon is closed.
func (r *crashReporter) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, name := range r.reports.Daemons() {
			if i, ok := r.members.Get(name); ok && (i.Leaving() || i.Removed()) {
				r.recordUndelivered(r.reports.Leave(name), "daemon has left")
			}
		}
		due, wait, givenUp := r.reports.Due(time.Now())
		r.recordUndelivered(givenUp, "too old")
		for _, name := range due {
			r.tasks.start(func() { r.deliver(name) })
		}
		timer.Stop()
		if wait > 0 {
			timer.Reset(wait)
		}
		select {
		case <-r.changed:
		case <-timer.C:
		case <-r.baseCtx.Done():
			return
		}
	}
}

// deliver sends the outstanding reports of a daemon one after another, until one fails.
func (r *crashReporter) deliver(name string) {
	defer r.wake()
	for {
		report, unconfirmed, ok := r.reports.Next(name)
		if !ok {
			return
		}
		_, err := r.callPeer(r.baseCtx, name, crashReportTimeout, crashMessage(time.Now(), r.self.Name(), report, unconfirmed))
		result := backend.Acknowledged
		if err != nil {
			result = backend.Unconfirmed
			if errors.Is(err, peerquic.ErrUnreachable) {
				result = backend.NotReceived
			}
			r.metrics.increment("crash_report_failures")
			r.log.Debug("crash report not acknowledged", "to", name, "fingerprint", report.Key().Fingerprint(), "error", err)
		}
		r.reports.Record(time.Now(), name, report, result)
		if err != nil {
			// Another goroutine may be sending to the daemon by now.
			return
		}
	}
}

// crashMessage returns the message for a report. One that the receiver may have counted is
// sent as part of a probe, since daemons of earlier versions would count it again.
func crashMessage(now time.Time, self string, report backend.CrashReport, unconfirmed bool) *schema.Request {
	death := schema.Death_builder{
		Customer:    proto.String(report.Key().Customer()),
		Fingerprint: proto.Uint64(report.Key().Fingerprint()),
		Backend:     proto.String(self),
		Id:          proto.Uint64(report.ID()),
		Age:         durationpb.New(now.Sub(report.At())),
	}.Build()
	if unconfirmed {
		return schema.Request_builder{Gossip: schema.Gossip_builder{Crash: death}.Build()}.Build()
	}
	return schema.Request_builder{Death: death}.Build()
}

func (r *crashReporter) recordUndelivered(list []backend.Undelivered, reason string) {
	for _, u := range list {
		r.metrics.increment("crash_reports_undelivered")
		r.log.Warn("crash report not delivered", "to", u.Daemon(), "customer", u.Report().Key().Customer(),
			"fingerprint", u.Report().Key().Fingerprint(), "reason", reason)
	}
}
