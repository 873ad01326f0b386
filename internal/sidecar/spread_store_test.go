//go:build !race

package sidecar

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/replica"
)

// testStore simulates the operators' store.
type testStore struct {
	mu  sync.Mutex
	era uint64
	// items are all changes of the era so far. The revision of each is its index plus 1.
	// writtenAt holds when each was written.
	items       []replica.Item
	writtenAt   []time.Time
	changeTimes map[string]time.Time
	// oldCopy holds the changes of the era before, and oldEra its number.
	oldCopy     []replica.Item
	oldEra      uint64
	unavailable bool
	// silent states that no call is answered. Those of the time stay unanswered after it,
	// as their connections remain silent.
	silent bool
	// compacted states that watches fail because the store has discarded its history, and
	// failingPrefix is the prefix whose lists fail, or "" for none.
	compacted     bool
	failingPrefix string
	// calls is the number of calls since the last checkCalls.
	calls int
	// changed is closed at the next change.
	changed chan struct{}
}

func newTestStore() *testStore {
	s := &testStore{changeTimes: make(map[string]time.Time), changed: make(chan struct{})}
	s.put("c/1", "", false)
	return s
}

func (s *testStore) put(key, value string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := replica.NewItem(key, []byte(value), uint64(len(s.items)+1))
	if removed {
		i = replica.NewTombstone(key, i.Revision())
	}
	s.items, s.writtenAt = append(s.items, i), append(s.writtenAt, time.Now())
	s.changeTimes[key] = time.Now()
	s.wakeReaders()
}

// wakeReaders ends the waits of the watches. The caller holds mu.
func (s *testStore) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testStore) changedAt(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeTimes[key]
}

// checkCalls checks that the store was called at most bound times since the last check.
func (s *testStore) checkCalls(t *testing.T, bound string) string {
	limit := atoi(t, bound)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	t.Logf("%d calls", n)
	if n > limit {
		return fmt.Sprintf("%d calls", n)
	}
	return "within the bound"
}

func (s *testStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.wakeReaders()
}

func (s *testStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wakeReaders()
}

// restore begins a new era with what had been written some time ago.
func (s *testStore) restore(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldCopy, s.oldEra = s.items, s.era
	limit := time.Now().Add(-ago)
	kept, _ := slices.BinarySearchFunc(s.writtenAt, limit, time.Time.Compare)
	s.items, s.writtenAt = slices.Clone(s.items[:kept]), slices.Clone(s.writtenAt[:kept])
	s.era++
	s.wakeReaders()
}

// position returns the position of the store.
func (s *testStore) position() replica.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return replica.NewPosition(s.era, uint64(len(s.items)))
}

// listAll stands for a list of all items instead of the changes after a revision.
const listAll = ^uint64(0)

// readOldCopy reads the store as of the end of the era before.
func (s *testStore) readOldCopy(after uint64) ([]replica.Item, replica.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return readChanges(s.oldCopy, s.oldEra, after)
}

// readChanges returns the changes after a revision, or the content if after is listAll.
func readChanges(changes []replica.Item, era, after uint64) ([]replica.Item, replica.Position, error) {
	at := replica.NewPosition(era, uint64(len(changes)))
	if after != listAll {
		if after > at.Revision() {
			return nil, at, ErrCompacted
		}
		return slices.Clone(changes[after:]), at, nil
	}
	content := make(map[string]replica.Item)
	for _, i := range changes {
		if i.Removed() {
			delete(content, i.Key())
		} else {
			content[i.Key()] = i
		}
	}
	return slices.Collect(maps.Values(content)), at, nil
}

func (s *testStore) read(ctx context.Context, after uint64, wait time.Duration) ([]replica.Item, replica.Position, error) {
	outer := ctx
	s.mu.Lock()
	s.calls++
	changed, silent := s.changed, s.silent
	block := !s.unavailable && wait > 0 && after == uint64(len(s.items))
	s.mu.Unlock()
	if block {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	if silent || s.silent {
		s.mu.Unlock()
		<-outer.Done()
		return nil, replica.Position{}, ErrStoreUnavailable
	}
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, replica.Position{}, ErrStoreUnavailable
	}
	return readChanges(s.items, s.era, after)
}

// compact discards the history, so that watches fail, and lets the lists of a prefix fail.
func (s *testStore) compact(failingPrefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.failingPrefix = true, failingPrefix
	s.wakeReaders()
}

// fail lets the lists of a prefix fail.
func (s *testStore) fail(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingPrefix = prefix
}

// listError returns the error of a list of a prefix, and watchError that of a watch.
func (s *testStore) listError(prefix string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix == s.failingPrefix {
		return ErrStoreUnavailable
	}
	return nil
}

func (s *testStore) watchError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compacted {
		return ErrCompacted
	}
	return nil
}
