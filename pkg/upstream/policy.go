package upstream

import "math/rand/v2"

// Candidate is a backend server that a request may be sent to.
type Candidate struct {
	name     string
	distance int
	score    float64
}

// NewCandidate returns a candidate. distance must be 0 for the daemon's own data
// centre, 1 for another one in the same region, or 2 for other regions. score is the
// load as a fraction of the capacity; it exceeds 1 if requests are queued.
func NewCandidate(name string, distance int, score float64) Candidate {
	return Candidate{name: name, distance: distance, score: score}
}

// Name returns the name of the backend server.
func (c Candidate) Name() string { return c.name }

// Distance returns 0 for the daemon's own data centre, 1 for another one in the same
// region, and 2 for other regions.
func (c Candidate) Distance() int { return c.distance }

// Score returns the load as a fraction of the capacity.
func (c Candidate) Score() float64 { return c.score }

// Rand is a source of random numbers. It must not be shared between goroutines.
type Rand = *rand.Rand

// Policy chooses among candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate. There is at least one. Choose
	// must be safe for concurrent use.
	Choose(rnd Rand, candidates []Candidate) int
}

// distances is the number of distinct distances.
const distances = 3

// distancePenalty is added to the score of a candidate, by distance. It has the
// unit of the score, a fraction of the capacity.
var distancePenalty = [distances]float64{0, 0.5, 1}

// LeastLoaded takes the less loaded of two random candidates at each distance, and
// of those the one with the lowest sum of score and distance penalty.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(rnd Rand, candidates []Candidate) int {
	best, bestScore := -1, 0.0
	for d := range distances {
		i := betterOfTwo(rnd, candidates, d)
		if i < 0 {
			continue
		}
		score := candidates[i].score + distancePenalty[d]
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// betterOfTwo draws two candidates at a distance and returns the index of the less
// loaded one, or -1 if there is none.
func betterOfTwo(rnd Rand, candidates []Candidate, distance int) int {
	first, second := -1, -1
	seen := 0
	for i, c := range candidates {
		if c.distance != distance {
			continue
		}
		// Reservoir sampling avoids copying the candidates at this distance.
		seen++
		switch {
		case seen == 1:
			first = i
		case seen == 2:
			second = i
		default:
			switch rnd.IntN(seen) {
			case 0:
				first = i
			case 1:
				second = i
			}
		}
	}
	if second >= 0 && candidates[second].score < candidates[first].score {
		return second
	}
	if second >= 0 && candidates[second].score == candidates[first].score && rnd.IntN(2) == 0 {
		return second
	}
	return first
}

// Random takes any candidate with equal probability.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(rnd Rand, candidates []Candidate) int {
	return rnd.IntN(len(candidates))
}
