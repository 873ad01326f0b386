package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// drainDelay is how long a stopping daemon continues to serve at least, so that
	// callers can detect that it is not ready.
	drainDelay = 2500 * time.Millisecond
	// refuseBeforeEnd is how long before the end of the grace time the daemon begins to
	// refuse new requests at the latest.
	refuseBeforeEnd = 1800 * time.Millisecond
	// exitBeforeEnd is how long before the end of the grace time the process ends at the
	// latest, even if requests are still open.
	exitBeforeEnd = 250 * time.Millisecond
	// idleBeforeRefusal is the time without open requests after which the daemon begins
	// to refuse new ones.
	idleBeforeRefusal = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for open requests.
	drainPollInterval = 50 * time.Millisecond
)

// Stop ends the daemon within its grace time. The daemon reports that it is not ready,
// and serves requests until its callers have left or the grace time is nearly over. It
// then refuses new requests, and ends once no request is running.
func (d *Daemon) Stop() error {
	end := time.Now().Add(d.currentSettings.Load().GetBounds().GetGrace().AsDuration())
	d.stopping.Store(true)
	d.events.stateChange("stop", "open", d.openRequests.Load(), "running", d.admission.running.Load())
	// Another daemon has to take over reading the store for the data centre.
	d.watcher.leaving.Store(true)
	d.gossiper.syncCentre()
	sleep(d.gossiper.ctx, drainDelay)
	waitUntil(end.Add(-refuseBeforeEnd), idleBeforeRefusal, func() bool { return d.openRequests.Load() == 0 })
	d.refusing.Store(true)
	d.admission.refusing.Store(true)
	waitUntil(end.Add(-exitBeforeEnd), drainPollInterval, func() bool {
		return d.openRequests.Load() == 0 && d.admission.running.Load() == 0
	})
	return d.Close()
}

// waitUntil waits until a condition has been true for a duration, at most until end.
func waitUntil(end time.Time, duration time.Duration, condition func() bool) {
	since := time.Now()
	for now := since; now.Before(end); now = time.Now() {
		switch {
		case !condition():
			since = now
		case now.Sub(since) >= duration:
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// Close ends the daemon at once. Requests that are still open are lost.
func (d *Daemon) Close() error {
	d.cancel()
	var errs []error
	ctx, cancel := context.WithTimeout(context.Background(), drainPollInterval)
	defer cancel()
	for _, s := range d.servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	d.pool.Close()
	errs = append(errs, d.metrics.close())
	d.events.stateChange("stopped", "open", d.openRequests.Load(), "running", d.admission.running.Load())
	d.out.Close()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("close daemon: %w", err)
	}
	return nil
}
