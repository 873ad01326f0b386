package caller

// ClaimState is what the votes on a claim come to.
type ClaimState uint8

// The rulings.
const (
	// ClaimUndecided: more votes are needed.
	ClaimUndecided ClaimState = iota
	// ClaimWon: the attempt may be sent to one backend server at a time.
	ClaimWon
	// ClaimLost: another attempt has the key, or too few holders vouch for it.
	ClaimLost
)

// Tally counts the votes on a claim over all groups of holders. It belongs to
// one goroutine.
type Tally struct {
	groups [][]string
	votes  map[string]Vote
	failed map[string]bool
}

// NewTally returns the tally of a claim before the first vote.
func NewTally(groups [][]string) *Tally {
	return &Tally{groups: groups, votes: make(map[string]Vote), failed: make(map[string]bool)}
}

// Holders returns each holder once.
func (t *Tally) Holders() []string {
	seen := make(map[string]bool)
	var names []string
	for _, group := range t.groups {
		for _, name := range group {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// RecordVote notes a holder's vote.
func (t *Tally) RecordVote(holder string, v Vote) { t.votes[holder] = v }

// RecordFailure notes that a holder could not be reached.
func (t *Tally) RecordFailure(holder string) { t.failed[holder] = true }

// State returns what the votes so far come to. A claim is won with a majority
// of every group and no word of another attempt, and lost as soon as that
// cannot come about any more.
func (t *Tally) State() ClaimState {
	if t.Conflict() != VoteGranted {
		return ClaimLost
	}
	if len(t.groups) == 0 {
		return ClaimLost
	}
	ruling := ClaimWon
	for _, group := range t.groups {
		granted, open := t.count(group)
		need := len(group)/2 + 1
		switch {
		case granted >= need:
		case granted+open >= need:
			ruling = ClaimUndecided
		default:
			return ClaimLost
		}
	}
	return ruling
}

func (t *Tally) count(group []string) (granted, open int) {
	for _, name := range group {
		v, voted := t.votes[name]
		switch {
		case voted && v == VoteGranted:
			granted++
		case !voted && !t.failed[name]:
			open++
		}
	}
	return granted, open
}

// Conflict returns what is known of another attempt: HasRun, Unsure or Pending, or
// Granted where no holder told of one.
func (t *Tally) Conflict() Vote {
	taken := VoteGranted
	for _, v := range t.votes {
		switch {
		case v == VoteRan:
			return VoteRan
		case v == VoteUnknown, v == VotePending && taken == VoteGranted:
			taken = v
		}
	}
	return taken
}
