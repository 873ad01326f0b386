package upstream

import "math/rand/v2"

// Candidate is a backend server that may get a request.
type Candidate struct {
	name     string
	distance int
	score    float64
}

// NewCandidate returns a candidate at a distance (0 for the own data centre, 1
// for the own region, 2 beyond) with its load as a part of what it bears.
func NewCandidate(name string, distance int, score float64) Candidate {
	return Candidate{name: name, distance: distance, score: score}
}

// Name returns the backend server's name.
func (c Candidate) Name() string { return c.name }

// Distance returns 0 for the own data centre, 1 for the own region, 2 beyond.
func (c Candidate) Distance() int { return c.distance }

// Score returns the load as a part of what the backend server bears.
func (c Candidate) Score() float64 { return c.score }

// Rand is the source of random numbers of one event.
type Rand = *rand.Rand

// Policy chooses one of at least one candidates by index.
type Policy interface {
	Choose(rnd Rand, candidates []Candidate) int
}

// distances is how many distances there are.
const distances = 3

// penalty is what a distance is worth as a part of what a backend server bears.
var penalty = [distances]float64{0, 0.5, 1}

// LeastLoaded takes the better of two random candidates at each distance, and of
// those the best with the distance counted in.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(rnd Rand, candidates []Candidate) int {
	best, bestScore := -1, 0.0
	for d := range distances {
		i := betterOfTwo(rnd, candidates, d)
		if i < 0 {
			continue
		}
		score := candidates[i].score + penalty[d]
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// betterOfTwo draws two candidates at a distance and returns the less loaded
// one, or -1 where there is none.
func betterOfTwo(rnd Rand, candidates []Candidate, distance int) int {
	first, second := -1, -1
	seen := 0
	for i, c := range candidates {
		if c.distance != distance {
			continue
		}
		// Reservoir sampling of two without a copy.
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

// Random takes any candidate.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(rnd Rand, candidates []Candidate) int {
	return rnd.IntN(len(candidates))
}
