package caller

// ClaimState is the result of the votes on a claim so far.
type ClaimState uint8

// The possible states.
const (
	// ClaimUndecided: the result depends on the outstanding votes.
	ClaimUndecided ClaimState = iota
	// ClaimWon: the daemon that made the claim may send the request, to one backend
	// server at a time.
	ClaimWon
	// ClaimLost: another attempt has claimed the key, or a group has no majority of
	// grants.
	ClaimLost
)

// Tally counts the votes on a claim in all groups of holders. It is not safe for
// concurrent use. Create one with NewTally.
type Tally struct {
	groups [][]string
	votes  map[string]Vote
	failed map[string]bool
}

// NewTally returns the tally of a claim without votes. The groups are those that
// HolderHistory.Groups returned; the tally retains them. A claim without a group is
// lost.
func NewTally(groups [][]string) *Tally {
	return &Tally{groups: groups, votes: make(map[string]Vote), failed: make(map[string]bool)}
}

// Holders returns the holders of all groups without duplicates.
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

// RecordVote records the vote of a holder, given by name.
func (t *Tally) RecordVote(holder string, v Vote) { t.votes[holder] = v }

// RecordFailure records that a holder, given by name, could not be reached. A vote
// recorded for it nevertheless counts.
func (t *Tally) RecordFailure(holder string) { t.failed[holder] = true }

// State returns the result of the votes so far. A claim is won with a majority of
// grants in every group and no vote that reports another attempt, and lost as
// soon as that is impossible.
func (t *Tally) State() ClaimState {
	if t.Conflict() != VoteGranted {
		return ClaimLost
	}
	if len(t.groups) == 0 {
		return ClaimLost
	}
	state := ClaimWon
	for _, group := range t.groups {
		granted, outstanding := t.count(group)
		quorum := len(group)/2 + 1
		switch {
		case granted >= quorum:
		case granted+outstanding >= quorum:
			state = ClaimUndecided
		default:
			return ClaimLost
		}
	}
	return state
}

// count returns the grants of a group and the number of its holders that have
// neither voted nor failed.
func (t *Tally) count(group []string) (granted, outstanding int) {
	for _, name := range group {
		v, voted := t.votes[name]
		switch {
		case voted && v == VoteGranted:
			granted++
		case !voted && !t.failed[name]:
			outstanding++
		}
	}
	return granted, outstanding
}

// Conflict returns what the votes report about another attempt: VoteRan,
// VoteUnknown or VotePending, or VoteGranted if no holder reported one.
func (t *Tally) Conflict() Vote {
	conflict := VoteGranted
	for _, v := range t.votes {
		switch {
		case v == VoteRan:
			return VoteRan
		case v == VoteUnknown, v == VotePending && conflict == VoteGranted:
			conflict = v
		}
	}
	return conflict
}
