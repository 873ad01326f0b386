package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weighted is a name with its rendezvous weight.
type weighted struct {
	name   string
	weight uint64
}

// compare orders by weight, the highest first, and then by name.
func (w weighted) compare(v weighted) int {
	return cmp.Or(cmp.Compare(v.weight, w.weight), cmp.Compare(w.name, v.name))
}

// Rank returns names by their rendezvous weight for seed, the highest first.
// Adding or removing a name moves no other name past a third.
func Rank(seed string, names []string) []string {
	list := make([]weighted, len(names))
	for i, n := range names {
		list[i] = weighted{name: n, weight: weight(seed, n)}
	}
	slices.SortFunc(list, weighted.compare)
	ranked := make([]string, len(list))
	for i, w := range list {
		ranked[i] = w.name
	}
	return ranked
}

// Top returns the first n names of Rank, or all where there are fewer, without
// ranking the others.
func Top(seed string, names []string, n int) []string {
	best := make([]weighted, 0, n+1)
	for _, name := range names {
		w := weighted{name: name, weight: weight(seed, name)}
		if len(best) == n && (n == 0 || w.compare(best[n-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, w, weighted.compare)
		best = slices.Insert(best, at, w)
		best = best[:min(n, len(best))]
	}
	top := make([]string, len(best))
	for i, w := range best {
		top[i] = w.name
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

// Children returns whom self passes a message on to in the tree of the given
// fan-out over order. A name that is not in order passes it to the root.
func Children(order []string, self string, fanout int) []string {
	i := slices.Index(order, self)
	if i < 0 {
		return order[:min(1, len(order))]
	}
	from := min(i*fanout+1, len(order))
	to := min(from+fanout, len(order))
	return order[from:to]
}
