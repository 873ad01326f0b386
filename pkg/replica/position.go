package replica

import (
	"cmp"
	"strconv"
)

// Position is a position in the history of the store. A store that is restored from an older
// copy begins a new era, in which it assigns revisions again, so positions of different eras
// are ordered by their eras alone. The zero Position is before any other. A store that states
// no eras is in era 0.
type Position struct{ era, revision uint64 }

// NewPosition returns the position at a revision of an era.
func NewPosition(era, revision uint64) Position { return Position{era: era, revision: revision} }

// Era returns the era.
func (p Position) Era() uint64 { return p.era }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return p.revision }

// Compare returns a negative number if p is before other, zero if they are equal, and a
// positive number otherwise.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.revision, other.revision))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// String returns the position as ERA/REVISION.
func (p Position) String() string {
	return strconv.FormatUint(p.era, 10) + "/" + strconv.FormatUint(p.revision, 10)
}
