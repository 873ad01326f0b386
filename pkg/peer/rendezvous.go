package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns names by their rendezvous weight for seed, the highest first.
// Adding or removing a name moves no other name past a third.
func Rank(seed string, names []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	list := make([]weighted, len(names))
	for i, n := range names {
		list[i] = weighted{name: n, weight: weight(seed, n)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(list))
	for i, w := range list {
		ranked[i] = w.name
	}
	return ranked
}

// Top returns the first n names of Rank, or all where there are fewer.
func Top(seed string, names []string, n int) []string {
	ranked := Rank(seed, names)
	return ranked[:min(n, len(ranked))]
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
