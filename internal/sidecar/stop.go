package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// leaveAfter is how long a stopping daemon goes on taking requests, until
	// callers have noticed that it is not ready.
	leaveAfter = 2500 * time.Millisecond
	// leaveRefuse is how long before the end of the grace time new requests are
	// refused, and leaveReserve when the process ends whatever is open.
	leaveRefuse  = 1800 * time.Millisecond
	leaveReserve = 250 * time.Millisecond
	// leaveQuiet is how long no request may be open before the daemon ends, and
	// leaveCheck how often it looks.
	leaveQuiet = 200 * time.Millisecond
	leaveCheck = 50 * time.Millisecond
)

// Stop ends the daemon within its grace time: it stops being ready, goes on
// serving until its callers have left or the time is nearly up, then refuses new
// work, and ends once nothing runs.
func (d *Daemon) Stop() error {
	end := time.Now().Add(d.current.Load().GetBounds().GetGrace().AsDuration())
	d.stopping.Store(true)
	d.events.belief("stop", "open", d.open.Load(), "running", d.admission.running.Load())
	// Another daemon is to read the store for the data centre.
	d.watcher.leaving.Store(true)
	d.gossiper.syncCentre()
	sleep(d.gossiper.ctx, leaveAfter)
	waitUntil(end.Add(-leaveRefuse), leaveQuiet, func() bool { return d.open.Load() == 0 })
	d.refusing.Store(true)
	d.admission.stopping.Store(true)
	waitUntil(end.Add(-leaveReserve), leaveCheck, func() bool {
		return d.open.Load() == 0 && d.admission.running.Load() == 0
	})
	return d.Close()
}

// waitUntil waits until a condition has held for a time, or until an instant.
func waitUntil(end time.Time, held time.Duration, condition func() bool) {
	since := time.Now()
	for now := since; now.Before(end); now = time.Now() {
		switch {
		case !condition():
			since = now
		case now.Sub(since) >= held:
			return
		}
		time.Sleep(leaveCheck)
	}
}

// Close ends the daemon. Requests that are still open are lost.
func (d *Daemon) Close() error {
	d.cancel()
	var errs []error
	ctx, cancel := context.WithTimeout(context.Background(), leaveCheck)
	defer cancel()
	for _, s := range d.servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	d.pool.Close()
	errs = append(errs, d.metrics.close())
	d.events.belief("stopped", "open", d.open.Load(), "running", d.admission.running.Load())
	d.out.Close()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("close daemon: %w", err)
	}
	return nil
}
