package caller

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// holders is how many slots keep the record of one key.
const holders = 3

// HolderPlacement is the slots that may be holders under one version. Slots out of
// service belong to it, so that taking a data centre out moves no record.
type HolderPlacement struct {
	cfg *platform.Config
}

// NewHolderPlacement returns the electorate of a version.
func NewHolderPlacement(cfg *platform.Config) *HolderPlacement { return &HolderPlacement{cfg: cfg} }

func (e *HolderPlacement) equal(f *HolderPlacement) bool {
	return e.cfg.TopologyDigest() == f.cfg.TopologyDigest()
}

// Holders returns the holders of a customer's key: one in each of three data
// centres, or more to a data centre where there are fewer.
func (e *HolderPlacement) Holders(customer, key string) []string {
	seed := customer + "\x00" + key
	centres := peer.Top(seed, e.cfg.TopologyCentres(), holders)
	ranked := make([][]string, len(centres))
	for i, name := range centres {
		ranked[i] = peer.Top(seed, e.cfg.TopologyBackends(name), holders)
	}
	var names []string
	for round := range holders {
		for _, slots := range ranked {
			if round < len(slots) && len(names) < holders {
				names = append(names, slots[round])
			}
		}
	}
	return names
}

// generation is an electorate and when its records have ended.
type generation struct {
	electorate *HolderPlacement
	end        time.Time
}

// HolderHistory follows the electorate from version to version. Make one with
// NewElectorates.
type HolderHistory struct {
	// mu, of rank lock.Claims, guards what follows.
	mu      *lock.Mutex
	current *HolderPlacement
	past    []generation
}

// NewHolderHistory returns the follower before the first version.
func NewHolderHistory() *HolderHistory {
	return &HolderHistory{mu: lock.New(lock.Claims)}
}

// Adopt takes over a version. Records under the electorate before are asked
// for until they have ended.
func (e *HolderHistory) Adopt(now time.Time, cfg *platform.Config) {
	next := NewHolderPlacement(cfg)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil && !e.current.equal(next) {
		end := now.Add(cfg.Policy().Retention())
		e.past = append(e.past, generation{electorate: e.current, end: end})
	}
	if e.current == nil || !e.current.equal(next) {
		e.current = next
	}
}

// Groups returns the groups of holders of which a claim needs a majority each.
func (e *HolderHistory) Groups(now time.Time, customer, key string) [][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return nil
	}
	e.past = slices.DeleteFunc(e.past, func(g generation) bool { return !now.Before(g.end) })
	groups := [][]string{e.current.Holders(customer, key)}
	for _, g := range e.past {
		group := g.electorate.Holders(customer, key)
		if !slices.Equal(group, groups[0]) {
			groups = append(groups, group)
		}
	}
	return groups
}
