package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign lets another writer add entries of a service that isn't in the configuration, and
// publishes versions meanwhile.
func foreign(e *environment) error {
	f, err := newFleet(e.record, e.root, "muc-1=muc:doku", "aug-1=aug:doku", "ros-1=ros:doku",
		"muc-2=muc:termin", "aug-2=aug:termin", "ros-2=ros:messung")
	if err != nil {
		return err
	}
	defer f.close()
	k := newKeyWatch(f)
	if err := f.start(k.configuration()); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if e.trouble {
		for n := range foreignEntries {
			zone := f.zones[n%len(f.zones)]
			f.store.put(fmt.Sprintf("servers/x-%d", n), map[string]any{
				"address": net.JoinHostPort(f.prefix+fmt.Sprint(100+n), fmt.Sprint(f.port+portApp)),
				"born":    time.Now().UnixMilli(),
				"info":    map[string]any{"service": "rechnung", "config-version": "v1", "zone": zone, "slots": 4},
				"status":  map[string]any{"state": "ready", "sequence": 1, "warmup-left-s": 0},
			})
		}
		e.record.printf("another writer added %d entries of the service rechnung, which no configuration names", foreignEntries)
	}
	stop := make(chan struct{})
	ended := make(chan struct{}, len(f.machines))
	for _, m := range f.machines {
		go func() {
			k.client(m, stop)
			ended <- struct{}{}
		}()
	}
	for range foreignVersions {
		time.Sleep(3200*time.Millisecond + rand.N(1600*time.Millisecond))
		k.publish()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	for range f.machines {
		<-ended
	}
	if k.served < 300 {
		return fmt.Errorf("only %d requests were served", k.served)
	}
	return nil
}

const (
	// foreignEntries is the number of entries that the other writer adds.
	foreignEntries = 36
	// foreignVersions is the number of versions that are published.
	foreignVersions = 19
)
