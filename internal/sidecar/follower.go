package sidecar

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/replica"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// watchWait is how long one watch waits: a connection that has gone silent
	// is noticed after that and answerTimeout.
	watchWait = 2 * time.Second
	// answerTimeout bounds an answer of the store beyond what it may wait.
	answerTimeout = 1200 * time.Millisecond
	// firstPause and laterPause are the times between two watches of the first
	// reader and of the others, so that changes in quick succession take few calls.
	firstPause = 100 * time.Millisecond
	laterPause = 500 * time.Millisecond
	// retryFirst and retryLast bound the time between two tries at a store that
	// is away; retryRare is that of daemons that need not read it.
	retryFirst = 150 * time.Millisecond
	retryLast  = time.Second
	retryRare  = 4 * time.Second
	// readersPerCentre is how many daemons of a data centre read the store.
	readersPerCentre = 2
	// staleAfter is how old a daemon's copy may be before it reads the store
	// itself, and staleFor how long it then goes on.
	staleAfter = 4 * time.Second
	staleFor   = 10 * time.Second
	// roleEvery is the time between two decisions whether to read.
	roleEvery = 500 * time.Millisecond
)

// follower keeps the copy of the store current: it reads the store where this
// daemon is one of the readers of its data centre, or hears nothing from them.
type follower struct {
	*knowledge
	source   Source
	prefixes []string
	self     string
	centre   string
	// away says that this daemon cannot read the store, leaving that it is about
	// to stop, and others until when each daemon is passed over that said so.
	away, leaving atomic.Bool
	others        *table.Table[string, time.Time]
	// alone is until when this daemon reads because its copy was old, in
	// nanoseconds since begin.
	alone atomic.Int64
	// lost is called when this daemon can no longer read the store, to tell those
	// that it reads for.
	lost func()
}

// unfit says whether others are to read the store in place of this daemon.
func (f *follower) unfit() bool { return f.away.Load() || f.leaving.Load() }

// heard notes whether another daemon can read the store.
func (f *follower) heard(now time.Time, daemon string, away bool) {
	f.others.Update(daemon, func(time.Time, bool) (time.Time, bool) { return now.Add(awayFor), away })
}

// run follows the store until ctx ends.
func (f *follower) run(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		if !f.reads(time.Now()) {
			pause(ctx, roleEvery)
			continue
		}
		err := f.follow(ctx)
		if err == nil || ctx.Err() != nil {
			wait = retryFirst
			continue
		}
		f.events.stateChange("store lost", "error", err.Error(), "age", f.age(time.Now()).String())
		if f.away.CompareAndSwap(false, true) {
			f.lost()
		}
		if f.confirmed.Load() > 0 && !f.first() {
			pause(ctx, retryRare)
			continue
		}
		pause(ctx, wait)
		wait = min(2*wait, retryLast)
	}
}

// reads says whether this daemon is to read the store.
func (f *follower) reads(now time.Time) bool {
	switch {
	case f.confirmed.Load() == 0:
		return true
	case f.age(now) > staleAfter:
		f.alone.Store(int64(now.Add(staleFor).Sub(f.begin)))
		return true
	case f.away.Load() && !f.first():
		// Others read; whether this daemon could, shows when it has to.
		f.away.Store(false)
		return false
	case f.away.Load(), now.Sub(f.begin) < time.Duration(f.alone.Load()):
		return true
	}
	return f.rank() >= 0
}

// rank returns which of the readers of its data centre this daemon is, or -1.
func (f *follower) rank() int {
	order := f.order()
	if len(order) == 0 {
		return 0
	}
	return slices.Index(order[:min(readersPerCentre, len(order))], f.self)
}

// first says whether this daemon is one of those that read the store where all of
// its data centre can.
func (f *follower) first() bool {
	order := f.ranked(func(string) bool { return true })
	return len(order) == 0 || slices.Contains(order[:min(readersPerCentre, len(order))], f.self)
}

// order returns the daemons of the data centre that can read the store, the
// readers first.
func (f *follower) order() []string {
	now := time.Now()
	return f.ranked(func(name string) bool {
		if name == f.self {
			return !f.unfit()
		}
		until, away := f.others.Get(name)
		return !away || !now.Before(until)
	})
}

// ranked returns the daemons of the data centre that are fit, in the order in
// which they read the store.
func (f *follower) ranked(fit func(name string) bool) []string {
	var names []string
	for _, h := range f.fleet.Hosts() {
		if h.Live() && h.Centre() == f.centre && fit(h.IP()) {
			names = append(names, h.IP())
		}
	}
	return peer.Rank(f.centre, names)
}

// follow reads what is missing and then watches, as long as this daemon reads.
func (f *follower) follow(ctx context.Context) error {
	if f.copy.Revision() == 0 {
		// The watch that follows tells what the list, which may be old, lacks.
		if err := f.list(ctx, false); err != nil {
			return err
		}
	}
	if !f.away.Load() {
		f.events.stateChange("store followed", "revision", f.copy.Revision())
	}
	for ctx.Err() == nil && f.reads(time.Now()) {
		err := f.watch(ctx)
		if errors.Is(err, ErrHistory) {
			f.events.stateChange("store has forgotten changes", "revision", f.copy.Revision())
			err = f.list(ctx, true)
		}
		if err != nil {
			return err
		}
		f.rest(ctx)
	}
	return nil
}

// rest waits until the next watch is worth a call.
func (f *follower) rest(ctx context.Context) {
	if f.rank() == 0 {
		pause(ctx, firstPause)
		return
	}
	pause(ctx, laterPause)
}

// list reads everything. Unless it is to be current, it may be some seconds old.
func (f *follower) list(ctx context.Context, current bool) error {
	var upTo uint64
	for i, prefix := range f.prefixes {
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		begin := time.Now()
		items, revision, err := f.source.List(ctx, prefix, current)
		cancel()
		if err != nil {
			return err //nolint:wrapcheck // the source says what failed
		}
		now := time.Now()
		if i == 0 && current {
			f.confirm(begin)
		}
		f.relearn(now, prefix, items, revision)
		if i == 0 || revision < upTo {
			upTo = revision
		}
	}
	f.copy.AdvanceRevision(upTo)
	return nil
}

// watch waits for changes and takes them in. The store's answer shows that the
// copy was current when the store began to wait.
func (f *follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+answerTimeout)
	defer cancel()
	after := f.copy.Revision()
	items, revision, err := f.source.Watch(ctx, watchPrefix, after, watchWait)
	if err != nil {
		return err //nolint:wrapcheck // the source says what failed
	}
	now := time.Now()
	f.away.Store(false)
	f.confirm(now)
	f.learn(now, f.wanted(items), after, revision)
	return nil
}

// watchPrefix has one watch tell of all changes: each watch is a call.
const watchPrefix = ""

// wanted returns the items under the prefixes that are followed.
func (f *follower) wanted(items []replica.Item) []replica.Item {
	return slices.DeleteFunc(items, func(i replica.Item) bool {
		return !slices.ContainsFunc(f.prefixes, func(prefix string) bool { return strings.HasPrefix(i.Key(), prefix) })
	})
}

// pause waits until d has passed or ctx has ended.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
