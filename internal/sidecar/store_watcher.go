package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/replica"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// watchWait is the maximum time for which one watch waits for changes. A
	// stalled connection is detected after watchWait plus storeTimeout.
	watchWait = 2 * time.Second
	// firstWatchWait replaces watchWait for the first watch of a daemon that begins to read
	// or whose last read failed, since the store may be silent: the next attempt, after the
	// store has come back, must not wait for the end of a long watch.
	firstWatchWait = 100 * time.Millisecond
	// storeTimeout bounds a response of the store, not counting the time that a
	// watch may wait.
	storeTimeout = 1200 * time.Millisecond
	// primaryWatchPause and secondaryWatchPause are the times between two
	// watches of the first reader and of the other readers.
	primaryWatchPause   = 100 * time.Millisecond
	secondaryWatchPause = 500 * time.Millisecond
	// busyPause is added to these times while changes follow each other quickly, which
	// is the case if a watch returned changes within busyWatch. It reduces the number of
	// calls. A change still reaches all daemons well before it has to be in force.
	busyPause = 250 * time.Millisecond
	busyWatch = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time between two attempts to
	// read an unavailable store.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// nonReaderRetryDelay is the time between two attempts on daemons that are not
	// preferred readers.
	nonReaderRetryDelay = 4 * time.Second
	// readersPerCentre is the number of daemons of a data centre that read the
	// store.
	readersPerCentre = 2
	// staleAfter is the age of a daemon's replica from which the daemon reads
	// the store itself.
	staleAfter = 4 * time.Second
	// fallbackDuration is how long a daemon with a stale replica continues to read
	// the store itself.
	fallbackDuration = 10 * time.Second
	// roleCheckInterval is the time between two checks whether this daemon has
	// become a reader.
	roleCheckInterval = 500 * time.Millisecond
)

// storeWatcher keeps the replica of the store current. It reads the store if
// this daemon is a reader of its data centre, or if the readers' updates do not
// arrive.
type storeWatcher struct {
	*fleetState
	source   Source
	prefixes []string
	// self is this daemon's IP address, by which daemons identify each other.
	self   string
	centre string
	// storeUnreachable is set while this daemon cannot read the store, and leaving
	// once it is about to stop.
	storeUnreachable, leaving atomic.Bool
	// ineligiblePeers holds the other daemons that reported either, and the time
	// until which they are not considered as readers.
	ineligiblePeers *table.Table[string, time.Time]
	// fallbackUntil is the time until which this daemon reads because its replica
	// was stale or no reader was heard, in nanoseconds since startedAt.
	fallbackUntil atomic.Int64
	roster        *roster
	// storeEra is the latest era that the store has stated. Only the goroutine of run uses it.
	storeEra uint64
	// reading is set while this daemon reads the store.
	reading atomic.Bool
	// onTakeover is called when this daemon has begun to read the store in place of the
	// readers. It tells the other daemons of the data centre, so that they need not.
	onTakeover func()
	// onStoreUnreachable is called when this daemon can no longer read the store. It
	// notifies the other daemons of the data centre, so that another one becomes a
	// reader.
	onStoreUnreachable func()
}

// ineligible reports whether this daemon cannot be a reader, so that others have
// to take its place.
func (w *storeWatcher) ineligible() bool { return w.storeUnreachable.Load() || w.leaving.Load() }

// recordEligibility records whether another daemon can be a reader.
func (w *storeWatcher) recordEligibility(now time.Time, daemon string, ineligible bool) {
	w.ineligiblePeers.Update(daemon, func(time.Time, bool) (time.Time, bool) { return now.Add(ineligibleTTL), ineligible })
}

// run keeps the replica current until ctx ends.
func (w *storeWatcher) run(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if now := time.Now(); !w.shouldRead(now) {
			sleep(ctx, min(roleCheckInterval, w.takeoverDelay()-w.roster.sinceReader(now)+time.Millisecond))
			continue
		}
		err := w.listAndWatch(ctx)
		if err == nil || ctx.Err() != nil {
			retryDelay = minRetryDelay
			continue
		}
		w.events.stateChange("store read failed", "error", err.Error(), "age", w.age(time.Now()).String())
		if w.storeUnreachable.CompareAndSwap(false, true) {
			w.onStoreUnreachable()
		}
		if w.confirmedAt.Load() > 0 && !w.isPreferredReader() {
			sleep(ctx, nonReaderRetryDelay)
			continue
		}
		sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// shouldRead reports whether this daemon has to read the store itself. If the replica is
// stale or no reader is heard, it starts the fallback.
func (w *storeWatcher) shouldRead(now time.Time) bool {
	switch {
	case w.confirmedAt.Load() == 0:
		return true
	case w.age(now) > staleAfter:
		w.fallbackUntil.Store(int64(now.Add(fallbackDuration).Sub(w.startedAt)))
		return true
	case w.missesReaders(now) && w.roster.sinceReader(now) > w.takeoverDelay():
		w.fallbackUntil.Store(int64(now.Add(takeoverDuration).Sub(w.startedAt)))
		return true
	case w.storeUnreachable.Load() && !w.isPreferredReader():
		// Other daemons read the store. Whether this one can is determined only when
		// it has to read.
		w.storeUnreachable.Store(false)
		return false
	case w.storeUnreachable.Load(), w.inFallback(now):
		return true
	}
	return w.readerRank() >= 0
}

// inFallback reports whether this daemon reads because its replica was stale or no reader was
// heard.
func (w *storeWatcher) inFallback(now time.Time) bool {
	return now.Sub(w.startedAt) < time.Duration(w.fallbackUntil.Load())
}

// substitutes reports whether this daemon reads the store in place of the readers.
func (w *storeWatcher) substitutes(now time.Time) bool { return w.reading.Load() && w.inFallback(now) }

// readerRank returns this daemon's index among the readers of its data centre,
// or -1 if it is not a reader. It returns 0 if no daemon is known that can be one.
func (w *storeWatcher) readerRank() int {
	order := w.readerOrder()
	if len(order) == 0 {
		return 0
	}
	return slices.Index(firstReaders(order), w.self)
}

// distributes reports whether this daemon reads the store for its data centre, as one of the
// readers or in their place, and so sends changes and heartbeats to the others.
func (w *storeWatcher) distributes(now time.Time) bool {
	return w.substitutes(now) || w.readerRank() >= 0
}

// takeoverDelay returns the time without a message from a reader after which this daemon reads
// in its place. It depends on the daemon's rank, so that the first ones can say that they do.
func (w *storeWatcher) takeoverDelay() time.Duration {
	step := maxTakeoverSteps
	if i := slices.Index(w.readerOrder(), w.self); i >= 0 {
		step = min(max(i/readersPerCentre-1, 0), maxTakeoverSteps)
	}
	return readerTimeout + time.Duration(step)*takeoverStep
}

// missesReaders reports whether no reader of the data centre is heard, so that the daemon has to
// look after its replica itself.
func (w *storeWatcher) missesReaders(now time.Time) bool {
	return w.roster.sinceReader(now) > readerTimeout && !w.reading.Load()
}

// isPreferredReader reports whether this daemon is a reader when all daemons of
// its data centre can read the store.
func (w *storeWatcher) isPreferredReader() bool {
	order := w.rankDaemons(func(string) bool { return true })
	return len(order) == 0 || slices.Contains(firstReaders(order), w.self)
}

// firstReaders returns the readers among the daemons in an order of preference.
func firstReaders(order []string) []string { return order[:min(readersPerCentre, len(order))] }

// readerOrder returns the daemons of the data centre that can be readers, in the
// order of preference.
func (w *storeWatcher) readerOrder() []string {
	now := time.Now()
	return w.rankDaemons(func(ip string) bool {
		if ip == w.self {
			return !w.ineligible()
		}
		until, ineligible := w.ineligiblePeers.Get(ip)
		return !ineligible || !now.Before(until)
	})
}

// rankDaemons returns the eligible daemons of the data centre that answer, in the order of
// rendezvous hashing.
func (w *storeWatcher) rankDaemons(eligible func(ip string) bool) []string {
	var ips []string
	for _, h := range w.fleet.Hosts() {
		if h.Live() && h.Centre() == w.centre && w.roster.present(h.IP()) && eligible(h.IP()) {
			ips = append(ips, h.IP())
		}
	}
	return peer.Rank(w.centre, ips)
}

// listAndWatch lists the store if the replica is empty and then watches it while
// shouldRead returns true.
func (w *storeWatcher) listAndWatch(ctx context.Context) error {
	defer w.reading.Store(false)
	if w.replica.Position().Revision() == 0 {
		// The list may be stale. The watch that follows returns the changes
		// that it lacks.
		if err := w.list(ctx, false); err != nil {
			return err
		}
	}
	if !w.storeUnreachable.Load() {
		w.events.stateChange("watching store", "position", w.replica.Position().String())
	}
	wait := firstWatchWait
	for ctx.Err() == nil && w.shouldRead(time.Now()) {
		begin := time.Now()
		err := w.watch(ctx, wait)
		wait = watchWait
		if errors.Is(err, ErrCompacted) {
			w.events.stateChange("store history compacted, listing all items", "position", w.replica.Position().String())
			err = w.list(ctx, true)
		}
		if err != nil {
			return err
		}
		w.pauseBetweenWatches(ctx, time.Since(begin))
	}
	return nil
}

// pauseBetweenWatches waits before the next watch, so that one watch returns several
// changes that follow each other quickly. watched is the duration of the last one.
func (w *storeWatcher) pauseBetweenWatches(ctx context.Context, watched time.Duration) {
	pause := secondaryWatchPause
	if w.readerRank() == 0 {
		pause = primaryWatchPause
	}
	if watched < busyWatch {
		pause += busyPause
	}
	sleep(ctx, pause)
}

// list reads all items under the prefixes. Unless current is set, they may be some
// seconds old. Lists of the replica's era are applied one by one. Those of a later era replace
// the replica's content once all of them have been read in one era. An empty replica adopts any
// era; another one reads current lists for it.
func (w *storeWatcher) list(ctx context.Context, current bool) error {
	begin := time.Now()
	known := w.replica.Position()
	var all []replica.Item
	var complete replica.Position
	for i, prefix := range w.prefixes {
		items, at, err := w.listPrefix(ctx, prefix, current)
		if err != nil {
			return err
		}
		if i > 0 && at.Era() > complete.Era() || at.Era() > known.Era() && known.Revision() > 0 && !current {
			// The store has been restored meanwhile. Since storeEra has been raised, this
			// happens once in each era.
			return w.list(ctx, true)
		}
		if at.Era() == known.Era() {
			w.replacePrefix(time.Now(), prefix, items, at)
		}
		all = append(all, items...)
		if i == 0 || at.Before(complete) {
			complete = at
		}
	}
	adopt := func() { w.replica.AdvanceTo(complete) }
	if complete.Era() > known.Era() {
		adopt = func() { w.replaceAll(time.Now(), all, complete, "store") }
	}
	switch {
	case !current:
		adopt()
	case complete.Era() > known.Era():
		// The next watch may wait for long, and until then this daemon would count as one that
		// cannot read the store.
		w.readCurrent(begin, adopt)
	default:
		adopt()
		w.confirmCurrent(begin)
	}
	return nil
}

// readCurrent records that this daemon reads the store, as which the replica is once apply has
// been called, and applies what was read.
func (w *storeWatcher) readCurrent(at time.Time, apply func()) {
	w.storeUnreachable.Store(false)
	w.confirmCurrent(at)
	takeover := !w.reading.Swap(true) && w.roster.sinceReader(time.Now()) > readerTimeout
	apply()
	if takeover {
		w.onTakeover()
	}
}

func (w *storeWatcher) listPrefix(ctx context.Context, prefix string, current bool) ([]replica.Item, replica.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, at, err := w.source.List(ctx, prefix, current)
	if err != nil {
		return nil, at, err //nolint:wrapcheck // the source's error describes what failed
	}
	return items, at, w.checkEra(at)
}

// checkEra records the era of a response of the store. It returns an error if the response comes
// from a copy of an earlier era than that of the replica or of another response.
func (w *storeWatcher) checkEra(at replica.Position) error {
	if known := max(w.storeEra, w.replica.Position().Era()); at.Era() < known {
		return fmt.Errorf("%w: %d after %d", ErrOtherEra, at.Era(), known)
	}
	w.storeEra = at.Era()
	return nil
}

// watch waits for changes for the given time and applies them. The store's response confirms that,
// apart from these changes, the replica is current. A response of a later era makes it list all
// items.
func (w *storeWatcher) watch(ctx context.Context, wait time.Duration) error {
	watchCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	after := w.replica.Position()
	items, upTo, err := w.source.Watch(watchCtx, watchPrefix, after.Revision(), wait)
	if err != nil {
		return err //nolint:wrapcheck // the source's error describes what failed
	}
	if upTo.Era() == after.Era() && after.Era() < w.replica.Position().Era() {
		// The replica has learned of a new era from another daemon meanwhile.
		return nil
	}
	if err := w.checkEra(upTo); err != nil {
		return err
	}
	if upTo.Era() > after.Era() {
		w.events.stateChange("store in new era, listing all items", "position", after.String(), "store", upTo.String())
		return w.list(ctx, true)
	}
	now := time.Now()
	w.readCurrent(now, func() { w.applyChanges(now, w.filterByPrefix(items), after.Revision(), upTo) })
	return nil
}

// watchPrefix is empty so that one call returns the changes under all prefixes.
const watchPrefix = ""

// filterByPrefix returns the items under the prefixes that the daemon replicates.
func (w *storeWatcher) filterByPrefix(items []replica.Item) []replica.Item {
	return slices.DeleteFunc(items, func(i replica.Item) bool {
		return !slices.ContainsFunc(w.prefixes, func(prefix string) bool { return strings.HasPrefix(i.Key(), prefix) })
	})
}

// sleep waits until d has passed or ctx has ended.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
