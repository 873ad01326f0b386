package sidecar

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
)

// startupAsks is the number of daemons that a daemon asks for crashes at its start. One may have just
// started, too.
const startupAsks = 3

func encodeCrashes(now time.Time, reports []backend.CrashReport) []*schema.Crash {
	list := make([]*schema.Crash, 0, len(reports))
	for _, r := range reports {
		list = append(list, schema.Crash_builder{
			Customer:    proto.String(r.Key().Customer()),
			Fingerprint: proto.Uint64(r.Key().Fingerprint()),
			Id:          proto.Uint64(r.ID()),
			Age:         proto.Int64(now.Sub(r.At()).Microseconds()),
			Answered:    proto.Bool(r.Answered()),
		}.Build())
	}
	return list
}

func decodeCrashes(now time.Time, list []*schema.Crash) []backend.CrashReport {
	reports := make([]backend.CrashReport, 0, len(list))
	for _, c := range list {
		age := time.Duration(c.GetAge()) * time.Microsecond
		key := backend.NewRequestKey(c.GetCustomer(), c.GetFingerprint())
		reports = append(reports, backend.NewCrashReport(c.GetId(), key, now.Add(-age)).WithAnswer(c.GetAnswered()))
	}
	return reports
}

// shareCrashes adds the crashes that this daemon exchanges to the answer to a daemon that has others.
// It may have started since they were reported, or have missed a report.
func (g *gossiper) shareCrashes(now time.Time, m, answer *schema.Exchange) {
	reports, digest := g.quarantine.Shared(now)
	if m.GetFrom() != "" && m.GetQuarantine() != digest {
		answer.SetCrashed(encodeCrashes(now, reports))
	}
}

// returnCrashes sends the crashes that this daemon exchanges to a daemon whose answer shows that it has
// others.
func (g *gossiper) returnCrashes(ip string, answer *schema.Exchange) {
	reports, digest := g.quarantine.Shared(time.Now())
	if len(reports) == 0 || answer.GetQuarantine() == digest {
		return
	}
	m := g.newMessage()
	m.SetCrashed(encodeCrashes(time.Now(), reports))
	g.events.spawn(func() {
		if _, err := g.peers.exchange(g.ctx, ip, controlTimeout, m); err != nil {
			g.events.stateChange("crash report not delivered", "ip", ip, "error", err.Error())
		}
	})
}

// askForCrashes asks random daemons, also of other data centres, for the crashes that were reported
// before this daemon started.
func (g *gossiper) askForCrashes() {
	hosts := g.otherHosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(startupAsks, len(hosts))] {
		g.events.spawn(func() {
			answer, err := g.peers.exchange(g.ctx, h.IP(), controlTimeout, g.newMessage())
			if err != nil {
				g.events.stateChange("asking for crashes failed", "ip", h.IP(), "error", err.Error())
				return
			}
			g.receive(time.Now(), answer)
		})
	}
}

// receiveCrashes records the crashes that a message contains.
func (g *gossiper) receiveCrashes(now time.Time, m *schema.Exchange) {
	var reports []backend.CrashReport
	for _, r := range decodeCrashes(now, m.GetCrashes()) {
		if r.ID() != 0 {
			reports = append(reports, r)
			continue
		}
		// Daemons of earlier versions report each crash once.
		if report, counted := g.quarantine.RecordCrash(now, r.Key()); counted {
			g.logCrash(report, m.GetFrom())
		}
	}
	for _, r := range g.quarantine.Merge(now, append(reports, decodeCrashes(now, m.GetCrashed())...)) {
		g.logCrash(r, m.GetFrom())
	}
}

func (g *gossiper) logCrash(r backend.CrashReport, from string) {
	g.events.stateChange("crash report received", "customer", r.Key().Customer(), "fingerprint", r.Key().Fingerprint(),
		"age", time.Since(r.At()).Round(time.Millisecond).String(), "answered", r.Answered(), "from", from)
}
