package caller_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// TestOnce checks that no idempotency key runs more than once, in random
// histories of network partitions, lost and delayed messages, restarts of
// holders, crashes of claiming daemons and changes of the backend servers.
func TestOnce(t *testing.T) {
	fuzz.Run(t, "testdata/once", map[string]fuzz.Property{
		"restart": func(t *rapid.T, broken bool) { runAtMostOnce(t, scenario{noDistrust: broken}) },
		"cut":     func(t *rapid.T, broken bool) { runAtMostOnce(t, scenario{partitions: true, singleHolder: broken}) },
		"slots":   func(t *rapid.T, broken bool) { runAtMostOnce(t, scenario{backendChanges: true, currentOnly: broken}) },
	})
}

// scenario selects the faults that a history has and the safety mechanism that is
// switched off in it.
type scenario struct {
	partitions, backendChanges bool
	// With noDistrust, holders grant keys whose records they may have lost. With
	// singleHolder, the vote of one holder decides. With currentOnly, only the
	// holders of the current placement are asked.
	noDistrust, singleHolder, currentOnly bool
}

const distrustPeriod = 30 * time.Second

// claim is an attempt with the votes on it so far.
type claim struct {
	key     string
	attempt caller.Attempt
	tally   *caller.Tally
	unasked []string
	asked   []string
}

// customerName is part of the input of the rendezvous hashing that selects holders, so
// another name changes the history that a seed leads to.
const customerName = "kunde"

// simulation is the state of one history.
type simulation struct {
	scenario
	t           *rapid.T
	now         time.Time
	cfg         *platform.Config
	claims      map[string]*caller.ClaimStore
	history     *caller.HolderHistory
	partitioned map[string]bool
	created     map[string]time.Time
	runs        map[string]int
	attempts    int
}

// newConfig returns a configuration of seven backend servers in three data centres,
// except those that without marks.
func newConfig(t *rapid.T, without []bool, distrust time.Duration) *platform.Config {
	b := platform.NewBuilder(1)
	b.SetPolicy(platform.NewPolicy(0, 0, time.Hour, distrust))
	for i := range 3 {
		b.AddCentre(platform.NewCentre("dc-"+strconv.Itoa(i), "r", false, false))
	}
	for i := range 7 {
		if !without[i] {
			b.AddBackend(platform.NewBackend("slot-"+strconv.Itoa(i), "appointments", "dc-"+strconv.Itoa(i%3), 9, false))
		}
	}
	cfg, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// runAtMostOnce runs a history of a scenario and fails if a key runs twice.
func runAtMostOnce(t *rapid.T, sc scenario) {
	s := &simulation{
		scenario:    sc,
		t:           t,
		now:         time.Unix(1_700_000_000, 0),
		claims:      make(map[string]*caller.ClaimStore),
		history:     caller.NewHolderHistory(),
		partitioned: make(map[string]bool),
		created:     make(map[string]time.Time),
		runs:        make(map[string]int),
	}
	s.cfg = newConfig(t, make([]bool, 7), s.distrust())
	s.history.Adopt(s.now, s.cfg)
	for i := range 7 {
		s.claims["slot-"+strconv.Itoa(i)] = caller.NewClaimStore(s.now.Add(-time.Hour))
	}
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 9_000).Draw(t, "ms")) * time.Millisecond)
		},
		"new":     func(t *rapid.T) { s.claimAndRun(t, s.newKey(t)) },
		"again":   s.resend,
		"race":    s.race,
		"restart": func(t *rapid.T) { s.claims[s.drawHolder(t)] = caller.NewClaimStore(s.now) },
		"cut": func(t *rapid.T) {
			if holder := s.drawHolder(t); s.partitions {
				s.partitioned[holder] = !s.partitioned[holder]
			}
		},
		"change": s.changeBackends,
		"": func(t *rapid.T) {
			for key, n := range s.runs {
				if n > 1 {
					t.Fatalf("key %s ran %d times, want at most 1", key, n)
				}
			}
		},
	})
}

func (s *simulation) distrust() time.Duration {
	if s.noDistrust {
		return time.Nanosecond
	}
	return distrustPeriod
}

func (s *simulation) drawHolder(t *rapid.T) string {
	return "slot-" + strconv.Itoa(rapid.IntRange(0, 6).Draw(t, "slot"))
}

// changeBackends adopts a configuration with another set of backend servers.
func (s *simulation) changeBackends(t *rapid.T) {
	if !s.backendChanges {
		return
	}
	without := make([]bool, 7)
	for i := range without[1:] {
		without[i+1] = rapid.IntRange(0, 2).Draw(t, "without") == 0
	}
	s.cfg = newConfig(t, without, s.distrust())
	if s.currentOnly {
		s.history = caller.NewHolderHistory()
	}
	s.history.Adopt(s.now, s.cfg)
}

// newKey returns a new key, with or without a creation time.
func (s *simulation) newKey(t *rapid.T) string {
	s.attempts++
	key := "key-" + strconv.Itoa(s.attempts)
	if rapid.Bool().Draw(t, "stamped") {
		key = uuidV7At(s.now, s.attempts)
	}
	s.created[key] = s.now
	return key
}

// uuidV7At returns a UUIDv7 with the given creation time, unique by n.
func uuidV7At(at time.Time, n int) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	id[14], id[15] = byte(n>>8), byte(n)
	return id.String()
}

// resend makes another attempt with an earlier key.
func (s *simulation) resend(t *rapid.T) {
	if key, ok := s.resendableKey(t); ok {
		s.claimAndRun(t, key)
	}
}

// resendableKey draws one of the earlier keys that are safe to resend. A key
// without a creation time is safe to resend only within the distrust period.
func (s *simulation) resendableKey(t *rapid.T) (string, bool) {
	var keys []string
	for key, at := range s.created {
		if strings.HasPrefix(key, "key-") && s.now.Sub(at) >= distrustPeriod {
			continue
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return "", false
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(t, "key"), true
}

// race lets two daemons claim the same key with interleaved messages.
func (s *simulation) race(t *rapid.T) {
	key, ok := s.resendableKey(t)
	if !ok {
		key = s.newKey(t)
	}
	a, b := s.startClaim(key), s.startClaim(key)
	turns := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(t, "turns")
	for _, first := range turns {
		if first {
			s.askNextHolder(t, a)
		} else {
			s.askNextHolder(t, b)
		}
	}
	s.finishClaim(t, a)
	s.finishClaim(t, b)
}

// claimAndRun claims a key at all its holders in turn and runs the request if the
// claim was won.
func (s *simulation) claimAndRun(t *rapid.T, key string) {
	c := s.startClaim(key)
	for range len(c.unasked) {
		s.askNextHolder(t, c)
	}
	s.finishClaim(t, c)
}

func (s *simulation) startClaim(key string) *claim {
	s.attempts++
	groups := s.history.Groups(s.now, customerName, key)
	if s.singleHolder {
		for _, name := range groups[0] {
			if !s.partitioned[name] {
				groups = [][]string{{name}}
				break
			}
		}
	}
	tally := caller.NewTally(groups)
	id := fmt.Sprintf("attempt-%d", s.attempts)
	return &claim{key: key, attempt: caller.NewAttempt(customerName, key, id), tally: tally, unasked: tally.Holders()}
}

// askNextHolder sends a claim to its next holder. The vote may be lost in transit.
func (s *simulation) askNextHolder(t *rapid.T, c *claim) {
	if len(c.unasked) == 0 {
		return
	}
	name := c.unasked[0]
	c.unasked = c.unasked[1:]
	if s.partitioned[name] {
		c.tally.RecordFailure(name)
		return
	}
	vote := s.claims[name].Claim(s.now, s.cfg.Policy(), c.attempt)
	c.asked = append(c.asked, name)
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		c.tally.RecordFailure(name)
		return
	}
	c.tally.RecordVote(name, vote)
}

// finishClaim runs the request if the claim was won. The claiming daemon may crash
// before it reports the outcome to the holders.
func (s *simulation) finishClaim(t *rapid.T, c *claim) {
	outcome := caller.OutcomeNotRun
	if c.tally.State() == caller.ClaimWon {
		outcome = rapid.SampledFrom([]caller.Outcome{caller.OutcomeRan, caller.OutcomeRan, caller.OutcomeNotRun, caller.OutcomeUnknown}).Draw(t, "outcome")
	}
	if outcome != caller.OutcomeNotRun {
		s.runs[c.key]++
	}
	if rapid.IntRange(0, 4).Draw(t, "ingress dies") == 0 {
		return
	}
	for _, name := range c.asked {
		s.claims[name].Settle(s.now, s.cfg.Policy(), c.attempt, outcome)
	}
}

// TestClaims runs scripts against one holder. Times are relative to its start.
func TestClaims(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	policy := platform.NewPolicy(0, 0, 10*time.Minute, distrustPeriod)
	outcomes := map[string]caller.Outcome{"ran": caller.OutcomeRan, "not-run": caller.OutcomeNotRun, "unknown": caller.OutcomeUnknown}
	votes := []string{"abstain", "granted", "pending", "ran", "unsure"}
	datadriven.RunTest(t, "testdata/claims", func(t *testing.T, d *datadriven.TestData) string {
		c := caller.NewClaimStore(begin)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			after, err := time.ParseDuration(f[0])
			if err != nil {
				t.Fatal(err)
			}
			now := begin.Add(after)
			key := f[2]
			if created, ok := strings.CutPrefix(key, "made@"); ok {
				at, err := time.ParseDuration(created)
				if err != nil {
					t.Fatal(err)
				}
				key = uuidV7At(begin.Add(at), 1)
			}
			a := caller.NewAttempt(customerName, key, f[3])
			result := "ok"
			if f[1] == "claim" {
				result = votes[c.Claim(now, policy, a)]
			} else {
				c.Settle(now, policy, a, outcomes[f[4]])
			}
			fmt.Fprintf(&out, "%s: %s\n", line, result)
		}
		return out.String()
	})
}

func ExampleTally() {
	tally := caller.NewTally([][]string{{"holder-1", "holder-2", "holder-3"}})
	tally.RecordVote("holder-1", caller.VoteGranted)
	fmt.Println(tally.State() == caller.ClaimWon)
	tally.RecordFailure("holder-2")
	tally.RecordVote("holder-3", caller.VoteGranted)
	fmt.Println(tally.State() == caller.ClaimWon)
	// Output:
	// false
	// true
}

func ExampleRetryBudget() {
	b := caller.NewRetryBudget()
	allowed := 0
	for range 100 {
		b.RecordRequest("documents")
		if b.AllowRetry("documents") {
			allowed++
		}
	}
	fmt.Println(allowed)
	// Output: 29
}
