package customer

import "time"

// tokenBatch is a number of tokens that were granted together and expire together.
type tokenBatch struct {
	count   int
	expires time.Time
}

// tokenBatches are the tokens of one customer that a daemon has borrowed, in the
// order in which they were added.
type tokenBatches []tokenBatch

// spend takes a token of the first batch that has one, and drops the expired and
// empty batches before it.
func (b *tokenBatches) spend(now time.Time) bool {
	for len(*b) > 0 {
		t := &(*b)[0]
		if t.count > 0 && now.Before(t.expires) {
			t.count--
			return true
		}
		*b = (*b)[1:]
	}
	return false
}

// count returns the number of tokens that have not expired.
func (b *tokenBatches) count(now time.Time) int {
	n := 0
	for _, t := range *b {
		if now.Before(t.expires) {
			n += t.count
		}
	}
	return n
}
