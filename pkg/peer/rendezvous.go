package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is a name with its weight in rendezvous hashing.
type candidate struct {
	name   string
	weight uint64
}

// compare orders candidates by descending weight, then by name.
func (c candidate) compare(d candidate) int {
	return cmp.Or(cmp.Compare(d.weight, c.weight), cmp.Compare(c.name, d.name))
}

// Rank returns names in descending order of their rendezvous weight for seed.
// Adding or removing a name does not change the relative order of the others. The
// names must be distinct; their order does not matter. Rank returns a new slice.
func Rank(seed string, names []string) []string {
	candidates := make([]candidate, len(names))
	for i, n := range names {
		candidates[i] = candidate{name: n, weight: weight(seed, n)}
	}
	slices.SortFunc(candidates, candidate.compare)
	ranked := make([]string, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.name
	}
	return ranked
}

// Top returns the first n names of Rank, or all if there are fewer, without sorting
// the others. n must not be negative. Top returns a new slice.
func Top(seed string, names []string, n int) []string {
	ranked := make([]candidate, 0, n+1)
	for _, name := range names {
		c := candidate{name: name, weight: weight(seed, name)}
		if len(ranked) == n && (n == 0 || c.compare(ranked[n-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(ranked, c, candidate.compare)
		ranked = slices.Insert(ranked, at, c)
		ranked = ranked[:min(n, len(ranked))]
	}
	top := make([]string, len(ranked))
	for i, c := range ranked {
		top[i] = c.name
	}
	return top
}

func weight(seed, name string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(seed)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// Children returns the names to which self forwards a message in the broadcast tree
// of the given fan-out over order, whose root is the first name. A name that is
// not in order forwards to the root. fanout must be at least 1. The result is a
// subslice of order, which the caller must not modify.
func Children(order []string, self string, fanout int) []string {
	i := slices.Index(order, self)
	if i < 0 {
		return order[:min(1, len(order))]
	}
	from := min(i*fanout+1, len(order))
	to := min(from+fanout, len(order))
	return order[from:to]
}
