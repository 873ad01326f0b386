package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lycheehead/lycheehead/internal/standin"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	*standin.Store
	server *http.Server
}

func newStore(l net.Listener) *store {
	s := &store{Store: standin.NewStore()}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// put writes a value.
func (s *store) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.Put(key, text)
	return nil
}

const (
	// minCopyAge is the least age of the copy from which the store is restored. With what is
	// drawn, it stays below settle, so that each copy has all instances.
	minCopyAge = time.Second
	// rewriteTime is the time within which all that was lost is written again.
	rewriteTime = 1800 * time.Millisecond
)

// restore writes versions, makes the store unavailable for a moment and restores it from an older
// copy, which lacks them. The last write of each key is repeated some time later, and then comes
// another version, at a revision that the store had assigned before.
func (f *fleet) restore(s step) error {
	f.storeGuard.acquire()
	defer f.storeGuard.release()
	for range s.count {
		if err := f.configure(); err != nil {
			return err
		}
		time.Sleep(s.gap / 4)
	}
	f.store.Suspend()
	time.Sleep(s.gap)
	lost := f.store.Restore(minCopyAge + s.length)
	f.journal.note(fmt.Sprintf("%8s store restored, %d keys lost", "", len(lost)))
	var writers sync.WaitGroup
	for n, l := range lost {
		writers.Go(func() {
			time.Sleep(rewriteTime * time.Duration(n+1) / time.Duration(len(lost)))
			f.store.WriteAgain(l)
		})
	}
	writers.Wait()
	return f.configure()
}
