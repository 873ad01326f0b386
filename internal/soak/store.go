package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
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
	// adoptTime is the time in which daemons read a version that follows others quickly. Together
	// with the time for which the store is away, it is shorter than the least age of a copy.
	adoptTime = 500 * time.Millisecond
	// configKey is the key of the configuration.
	configKey = "op/config"
)

// restore writes versions, makes the store unavailable for a moment and restores it from an older
// copy, which lacks them. The last write of each key is repeated some time later; if the step is
// reversed, daemons hold the last version when it is lost, and the operators write it with other
// content instead, which has to be in force before the next one. Then comes another version, at a
// revision that the store had assigned before.
func (f *fleet) restore(s step) error {
	f.storeGuard.acquire()
	defer f.storeGuard.release()
	for range s.count {
		if err := f.configure(); err != nil {
			return err
		}
		time.Sleep(s.gap / 4)
	}
	if s.reverse {
		time.Sleep(adoptTime)
	}
	f.store.Suspend()
	time.Sleep(s.gap)
	f.versionGuard.acquire()
	lost, version := f.store.Restore(minCopyAge+s.length), f.version
	f.versionGuard.release()
	f.journal.note(fmt.Sprintf("%8s store restored, %d keys lost", "", len(lost)))
	if s.reverse {
		lost = slices.DeleteFunc(lost, func(l standin.Lost) bool { return l.Key() == configKey })
	}
	var writers sync.WaitGroup
	for n, l := range lost {
		writers.Go(func() {
			time.Sleep(rewriteTime * time.Duration(n+1) / time.Duration(len(lost)))
			f.store.WriteAgain(l)
		})
	}
	if s.reverse {
		time.Sleep(s.gap)
		if err := f.reconfigure(version); err != nil {
			return err
		}
		f.journal.note(fmt.Sprintf("%8s version %d written with other content", "", version))
		time.Sleep(applyBound + time.Second)
	}
	writers.Wait()
	return f.configure()
}
