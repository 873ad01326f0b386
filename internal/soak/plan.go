package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// lane is a sequence of disruptions. Those of different lanes overlap.
type lane struct {
	name string
	// kinds are what a step of the lane may be. A kind that is listed twice is drawn twice
	// as often.
	kinds []string
	// pause is the mean time between two steps.
	pause time.Duration
	// often is in how many of ten seeds the lane is used.
	often int
}

// Kinds of steps.
const (
	stepStop    = "stop"    // SIGTERM, SIGKILL at the end of the grace time, new start
	stepAgain   = "again"   // the same, with a second SIGTERM and SIGHUPs meanwhile
	stepStops   = "stops"   // several planned stops at once, with new versions
	stepHup     = "hup"     // changed settings and SIGHUPs
	stepHalf    = "half"    // half-written settings and SIGHUPs, then whole ones
	stepVersion = "version" // new configuration versions
	stepAway    = "away"    // the log reader leaves and comes back
	stepFull    = "full"    // the log reader does not read for a while
	stepRestart = "restart" // planned restart of a backend server
	stepCrash   = "crash"   // crash of a backend server, new start
	stepKill    = "kill"    // SIGKILL, new start
	stepFreeze  = "freeze"  // SIGSTOP, SIGCONT
	stepDelay   = "delay"   // the proxy delays bytes from and to an instance
	stepReset   = "reset"   // the proxy resets the connections of an instance
	stepSilence = "silence" // the proxy forwards nothing in one direction
	stepRestore = "restore" // the store is away and comes back from an older copy
)

var lanes = []lane{
	{"stops", []string{stepStop, stepAgain, stepStops}, 2500 * time.Millisecond, 10},
	{"settings", []string{stepHup, stepHalf, stepVersion, stepVersion}, time.Second, 10},
	{"backends", []string{stepRestart}, 5 * time.Second, 5},
	{"logs", []string{stepAway, stepFull}, 4 * time.Second, 3},
	{"failures", []string{stepKill, stepFreeze, stepFreeze, stepCrash}, 3 * time.Second, 5},
	{"network", []string{stepDelay, stepReset, stepSilence}, 2 * time.Second, 4},
	{"store", []string{stepRestore}, 5 * time.Second, 3},
}

// laneNetwork is the lane that needs a proxy between the daemons.
const laneNetwork = "network"

// step is a disruption of the schedule.
type step struct {
	at        time.Duration
	kind      string
	instances []int
	// length is how long the disruption lasts, if that is drawn.
	length time.Duration
	// count and gap describe a series within the step.
	count int
	gap   time.Duration
	// reverse selects the direction of a step of the proxy.
	reverse bool
}

func (s step) String() string {
	return fmt.Sprintf("%8.3f %-7s %v length=%s count=%d gap=%s reverse=%t", s.at.Seconds(), s.kind, s.instances, s.length, s.count, s.gap, s.reverse)
}

// plan is the schedule of a soak.
type plan struct {
	lanes []string
	steps []step
}

const (
	// settle is the time without disruptions at the beginning and at the end.
	settle = 4 * time.Second
	// busy is how long a stopped instance is not stopped again. It covers the grace time and
	// a new start.
	busy = grace + 3*time.Second
	// drain is how long a backend server goes on serving after it has announced its leave.
	drain = 3 * time.Second
)

// newPlan draws a schedule from a seed. If names is not empty, it lists the lanes to use.
func newPlan(seed uint64, size int, length time.Duration, names []string) plan {
	var p plan
	draw := rand.New(rand.NewPCG(seed, 0))
	for n, l := range lanes {
		used := draw.IntN(10) < l.often
		if len(names) > 0 {
			used = slices.Contains(names, l.name)
		}
		if !used {
			continue
		}
		p.lanes = append(p.lanes, l.name)
		p.steps = append(p.steps, l.draw(rand.New(rand.NewPCG(seed, uint64(n)+1)), size, length)...)
	}
	slices.SortStableFunc(p.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return p
}

// draw returns the steps of a lane.
func (l lane) draw(r *rand.Rand, size int, length time.Duration) (steps []step) {
	free := make([]time.Duration, size)
	for at := settle; ; {
		at += time.Duration((0.2 + 1.6*r.Float64()) * float64(l.pause))
		s := step{
			at: at.Round(time.Millisecond), kind: l.kinds[r.IntN(len(l.kinds))], count: 1 + r.IntN(4),
			gap:    (10 * time.Millisecond) + drawDuration(r, 400*time.Millisecond).Round(time.Millisecond),
			length: (100*time.Millisecond + drawDuration(r, 2400*time.Millisecond)).Round(time.Millisecond), reverse: r.IntN(2) == 0,
		}
		n := 1
		if s.kind == stepStops {
			n = 2 + r.IntN(max(size/3-1, 1))
		}
		for _, i := range r.Perm(size) {
			if len(s.instances) < n && free[i] <= at {
				s.instances = append(s.instances, i)
			}
		}
		if at+busy > length {
			return steps
		}
		if len(s.instances) == 0 || len(steps) > 0 && s.kind == stepStops && len(s.instances) < 2 {
			continue
		}
		if s.kind == stepAway || s.kind == stepFull {
			s.length *= 4
		}
		for _, i := range s.instances {
			switch s.kind {
			case stepStop, stepAgain, stepStops, stepRestart, stepCrash, stepKill:
				free[i] = at + busy
			default:
				free[i] = at + s.length + time.Second
			}
		}
		steps = append(steps, s)
	}
}

// String returns the schedule, one step a line.
func (p plan) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintln(&b, "lanes:", strings.Join(p.lanes, " "))
	for _, s := range p.steps {
		_, _ = fmt.Fprintln(&b, s)
	}
	return b.String()
}

// drawDuration returns a duration below limit.
func drawDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
