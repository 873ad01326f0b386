package caller

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// holdersPerKey is the number of daemons that keep the record of a key. It
// tolerates the loss of one holder.
const holdersPerKey = 3

// HolderPlacement assigns holders to keys under one version of the
// configuration. A holder is the daemon beside a backend server and has its name. The
// placement includes backend servers that are out of service, so that taking a data
// centre out of service moves no record. It is immutable.
type HolderPlacement struct {
	cfg *platform.Config
}

// NewHolderPlacement returns the placement under a version.
func NewHolderPlacement(cfg *platform.Config) *HolderPlacement { return &HolderPlacement{cfg: cfg} }

func (p *HolderPlacement) equal(q *HolderPlacement) bool {
	return p.cfg.TopologyDigest() == q.cfg.TopologyDigest()
}

// Holders returns the names of the holders of a customer's idempotency key: one in
// each of three data centres, or several in one data centre if there are fewer than
// three. There are fewer than three holders if there are fewer backend servers.
func (p *HolderPlacement) Holders(customer, key string) []string {
	seed := customer + "\x00" + key
	centres := peer.Top(seed, p.cfg.TopologyCentres(), holdersPerKey)
	ranked := make([][]string, len(centres))
	for i, name := range centres {
		ranked[i] = peer.Top(seed, p.cfg.TopologyBackends(name), holdersPerKey)
	}
	var names []string
	for round := range holdersPerKey {
		for _, backends := range ranked {
			if round < len(backends) && len(names) < holdersPerKey {
				names = append(names, backends[round])
			}
		}
	}
	return names
}

// pastPlacement is a replaced placement with the time at which its records have
// expired.
type pastPlacement struct {
	placement *HolderPlacement
	expires   time.Time
}

// HolderHistory keeps the current placement, and past ones until their records
// have expired. It is safe for concurrent use. Create one with NewHolderHistory.
type HolderHistory struct {
	// mu has rank lock.Claims and guards the fields below.
	mu      *lock.Mutex
	current *HolderPlacement
	past    []pastPlacement
}

// NewHolderHistory returns a history without a placement.
func NewHolderHistory() *HolderHistory {
	return &HolderHistory{mu: lock.New(lock.Claims)}
}

// Adopt makes the placement under a version the current one. The holders of the
// previous placement remain in Groups until their records have expired, that is, for
// the retention of the policy in cfg.
func (h *HolderHistory) Adopt(now time.Time, cfg *platform.Config) {
	next := NewHolderPlacement(cfg)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && !h.current.equal(next) {
		expires := now.Add(cfg.Policy().Retention())
		h.past = append(h.past, pastPlacement{placement: h.current, expires: expires})
	}
	if h.current == nil || !h.current.equal(next) {
		h.current = next
	}
}

// Groups returns the groups of holders of a customer's idempotency key, for NewTally.
// A claim needs a majority in each group. The first group is that of the current
// placement. Groups returns nil before the first call of Adopt.
func (h *HolderHistory) Groups(now time.Time, customer, key string) [][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return nil
	}
	h.past = slices.DeleteFunc(h.past, func(p pastPlacement) bool { return !now.Before(p.expires) })
	groups := [][]string{h.current.Holders(customer, key)}
	for _, p := range h.past {
		group := p.placement.Holders(customer, key)
		if !slices.Equal(group, groups[0]) {
			groups = append(groups, group)
		}
	}
	return groups
}
