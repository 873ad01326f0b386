//go:build !race

package sidecar

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/replica"
)

// testStore simulates the operators' store.
type testStore struct {
	mu sync.Mutex
	// items are all changes so far. The revision of each is its index plus 1.
	items       []replica.Item
	changeTimes map[string]time.Time
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
	s.items = append(s.items, i)
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

func (s *testStore) read(ctx context.Context, after uint64, wait time.Duration) ([]replica.Item, uint64, error) {
	outer := ctx
	s.mu.Lock()
	s.calls++
	changed, silent := s.changed, s.silent
	block := !s.unavailable && wait > 0 && int(after) == len(s.items)
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
		return nil, 0, ErrStoreUnavailable
	}
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, 0, ErrStoreUnavailable
	}
	return slices.Clone(s.items[after:]), uint64(len(s.items)), nil
}

// compact discards the history, so that watches fail, and lets the lists of a prefix fail.
func (s *testStore) compact(failingPrefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.failingPrefix = true, failingPrefix
	s.wakeReaders()
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
