package customer

import "time"

// tokens are borrowed together and end together.
type tokens struct {
	count int
	end   time.Time
}

// stock is what a daemon has borrowed of one customer's tokens, those that end
// first in front.
type stock []tokens

// spend takes the token that ends first.
func (s *stock) spend(now time.Time) bool {
	for len(*s) > 0 {
		t := &(*s)[0]
		if t.count > 0 && now.Before(t.end) {
			t.count--
			return true
		}
		*s = (*s)[1:]
	}
	return false
}

// count returns how many tokens are left.
func (s *stock) count(now time.Time) int {
	n := 0
	for _, t := range *s {
		if now.Before(t.end) {
			n += t.count
		}
	}
	return n
}
