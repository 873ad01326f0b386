package http1

import "sync/atomic"

// Budget bounds the bytes of the bodies that a process holds in memory at the same time.
// A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit    int64
	used     atomic.Int64
	rejected atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes and reports whether there were that many. The caller returns
// them with Release.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	b.rejected.Add(1)
	return false
}

// bodyLimit returns the maximum size of one body, so that a single one cannot take the
// whole budget.
func (b *Budget) bodyLimit() int64 {
	if b == nil {
		return maxResponseBytes
	}
	return min(b.limit/2, maxResponseBytes)
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Rejected returns how many calls of Reserve failed.
func (b *Budget) Rejected() int64 {
	if b == nil {
		return 0
	}
	return b.rejected.Load()
}
