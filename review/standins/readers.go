package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

func init() { cases["readers"] = readers }

// The disruption of the case readers.
const (
	freezeDuration = 3500 * time.Millisecond
	freezeInterval = 4 * time.Second
	freezeCount    = 26
)

// readers freezes the two machines of a zone that read the store, again and again, and
// publishes a version each time.
func readers(e *environment) error {
	f, err := newFleet(e.record, e.root, "muc-1=muc:doku", "aug-1=aug:doku", "ros-1=ros:doku",
		"muc-2=muc:termin", "aug-2=aug:termin", "ros-2=ros:termin",
		"muc-3=muc:messung", "aug-3=aug:messung", "ros-3=ros:messung")
	if err != nil {
		return err
	}
	defer f.close()
	k := newKeyWatch(f)
	// thawed is when a machine is in touch again at the earliest after its last freeze.
	thawed := make(map[string]time.Time)
	k.inTouch = func(m *machine, at time.Time) bool { return at.After(thawed[m.name]) }
	watches := make(map[string]time.Time)
	mu := newGuard()
	f.store.onWatch = func(address string) {
		mu.lock()
		defer mu.unlock()
		watches[address] = time.Now()
	}
	if err := f.start(k.configuration()); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	ended := make(chan struct{}, len(f.machines))
	for _, m := range f.machines {
		go func() {
			k.client(m, stop)
			ended <- struct{}{}
		}()
	}
	for n := range freezeCount {
		begin := time.Now()
		zone := f.zones[n%len(f.zones)]
		var frozen []*machine
		if e.trouble {
			mu.lock()
			for _, m := range f.machines {
				if m.zone == zone && time.Since(watches[f.storeAddress(m)]) < contact {
					frozen = append(frozen, m)
				}
			}
			slices.SortFunc(frozen, func(a, b *machine) int { return watches[f.storeAddress(b)].Compare(watches[f.storeAddress(a)]) })
			mu.unlock()
			frozen = frozen[:min(2, len(frozen))]
		}
		k.mu.lock()
		for _, m := range frozen {
			thawed[m.name] = begin.Add(freezeDuration + contact + 100*time.Millisecond)
		}
		k.mu.unlock()
		for _, m := range frozen {
			e.record.printf("machine %s freezes", m.name)
			if err := m.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
				return fmt.Errorf("freeze: %w", err)
			}
		}
		time.Sleep(20 * time.Millisecond)
		k.publish()
		time.Sleep(time.Until(begin.Add(freezeDuration)))
		for _, m := range frozen {
			e.record.printf("machine %s wakes", m.name)
			if err := m.cmd.Process.Signal(syscall.SIGCONT); err != nil {
				return fmt.Errorf("wake: %w", err)
			}
		}
		time.Sleep(time.Until(begin.Add(freezeInterval)))
	}
	close(stop)
	for range f.machines {
		<-ended
	}
	if k.served < 300 {
		return fmt.Errorf("only %d requests were served", k.served)
	}
	return nil
}
