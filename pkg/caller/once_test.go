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

// TestOnce sends requests that must run once through random histories of cuts,
// lost and late messages, restarts of holders, deaths of ingresses and changes of
// the slots, and counts how often each key was let through.
func TestOnce(t *testing.T) {
	fuzz.Run(t, "testdata/once", map[string]fuzz.Property{
		"restart": func(t *rapid.T, broken bool) { send(t, faults{credulous: broken}) },
		"cut":     func(t *rapid.T, broken bool) { send(t, faults{cuts: true, single: broken}) },
		"slots":   func(t *rapid.T, broken bool) { send(t, faults{changes: true, forgetful: broken}) },
	})
}

// faults says what happens in a history, and which mechanism is off.
type faults struct {
	cuts, changes bool
	// credulous holders vouch for keys that they may have forgotten; single
	// takes the word of one holder; forgetful asks the newest electorate alone.
	credulous, single, forgetful bool
}

const distrust = 30 * time.Second

// try is an attempt whose votes are on their way.
type try struct {
	key     string
	attempt caller.Attempt
	tally   *caller.Tally
	voters  []string
	granted []string
}

type world struct {
	faults
	t           *rapid.T
	now         time.Time
	cfg         *platform.Config
	claims      map[string]*caller.ClaimStore
	electorates *caller.HolderHistory
	cut         map[string]bool
	first       map[string]time.Time
	runs        map[string]int
	attempts    int
}

func config(t *rapid.T, without []bool, distrusts time.Duration) *platform.Config {
	d := platform.NewBuilder(1)
	d.SetPolicy(platform.NewPolicy(0, 0, time.Hour, distrusts))
	for i := range 3 {
		d.AddCentre(platform.NewCentre("dc-"+strconv.Itoa(i), "r", false, false))
	}
	for i := range 7 {
		if !without[i] {
			d.AddBackend(platform.NewBackend("slot-"+strconv.Itoa(i), "termin", "dc-"+strconv.Itoa(i%3), 9, false))
		}
	}
	cfg, err := d.Build()
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func send(t *rapid.T, f faults) {
	w := &world{
		faults:      f,
		t:           t,
		now:         time.Unix(1_700_000_000, 0),
		claims:      make(map[string]*caller.ClaimStore),
		electorates: caller.NewHolderHistory(),
		cut:         make(map[string]bool),
		first:       make(map[string]time.Time),
		runs:        make(map[string]int),
	}
	w.cfg = config(t, make([]bool, 7), w.distrusts())
	w.electorates.Adopt(w.now, w.cfg)
	for i := range 7 {
		w.claims["slot-"+strconv.Itoa(i)] = caller.NewClaimStore(w.now.Add(-time.Hour))
	}
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9_000).Draw(t, "ms")) * time.Millisecond)
		},
		"new":     func(t *rapid.T) { w.run(t, w.newKey(t)) },
		"again":   w.again,
		"race":    w.race,
		"restart": func(t *rapid.T) { w.claims[w.slot(t)] = caller.NewClaimStore(w.now) },
		"cut": func(t *rapid.T) {
			if s := w.slot(t); w.cuts {
				w.cut[s] = !w.cut[s]
			}
		},
		"change": w.change,
		"": func(t *rapid.T) {
			for key, n := range w.runs {
				if n > 1 {
					t.Fatalf("key %s ran %d times", key, n)
				}
			}
		},
	})
}

func (w *world) distrusts() time.Duration {
	if w.credulous {
		return time.Nanosecond
	}
	return distrust
}

func (w *world) slot(t *rapid.T) string {
	return "slot-" + strconv.Itoa(rapid.IntRange(0, 6).Draw(t, "slot"))
}

// change puts another set of slots into the bundle.
func (w *world) change(t *rapid.T) {
	if !w.changes {
		return
	}
	without := make([]bool, 7)
	for i := range without[1:] {
		without[i+1] = rapid.IntRange(0, 2).Draw(t, "without") == 0
	}
	w.cfg = config(t, without, w.distrusts())
	if w.forgetful {
		w.electorates = caller.NewHolderHistory()
	}
	w.electorates.Adopt(w.now, w.cfg)
}

// newKey makes a key, one that tells when it was made or one that does not.
func (w *world) newKey(t *rapid.T) string {
	w.attempts++
	key := "key-" + strconv.Itoa(w.attempts)
	if rapid.Bool().Draw(t, "stamped") {
		key = stamped(w.now, w.attempts)
	}
	w.first[key] = w.now
	return key
}

// stamped returns a UUIDv7 made at an instant.
func stamped(at time.Time, n int) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	id[14], id[15] = byte(n>>8), byte(n)
	return id.String()
}

// again sends an old key once more. A key that does not tell when it was made
// is only safe to send again within the time of distrust.
func (w *world) again(t *rapid.T) {
	if key, ok := w.oldKey(t); ok {
		w.run(t, key)
	}
}

func (w *world) oldKey(t *rapid.T) (string, bool) {
	var keys []string
	for key, at := range w.first {
		if strings.HasPrefix(key, "key-") && w.now.Sub(at) >= distrust {
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

// race lets two ingresses claim one key with their messages crossing.
func (w *world) race(t *rapid.T) {
	key, ok := w.oldKey(t)
	if !ok {
		key = w.newKey(t)
	}
	a, b := w.begin(key), w.begin(key)
	turns := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(t, "turns")
	for _, first := range turns {
		if first {
			w.ask(t, a)
		} else {
			w.ask(t, b)
		}
	}
	w.end(t, a)
	w.end(t, b)
}

func (w *world) run(t *rapid.T, key string) {
	a := w.begin(key)
	for range len(a.voters) {
		w.ask(t, a)
	}
	w.end(t, a)
}

func (w *world) begin(key string) *try {
	w.attempts++
	groups := w.electorates.Groups(w.now, "kunde", key)
	if w.single {
		for _, name := range groups[0] {
			if !w.cut[name] {
				groups = [][]string{{name}}
				break
			}
		}
	}
	tally := caller.NewTally(groups)
	id := fmt.Sprintf("attempt-%d", w.attempts)
	return &try{key: key, attempt: caller.NewAttempt("kunde", key, id), tally: tally, voters: tally.Holders()}
}

// ask puts an attempt to its next holder. The answer may be lost on its way.
func (w *world) ask(t *rapid.T, a *try) {
	if len(a.voters) == 0 {
		return
	}
	name := a.voters[0]
	a.voters = a.voters[1:]
	if w.cut[name] {
		a.tally.RecordFailure(name)
		return
	}
	vote := w.claims[name].Claim(w.now, w.cfg.Policy(), a.attempt)
	a.granted = append(a.granted, name)
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		a.tally.RecordFailure(name)
		return
	}
	a.tally.RecordVote(name, vote)
}

// end runs an attempt that won. Its ingress may die before it tells how it ended.
func (w *world) end(t *rapid.T, a *try) {
	outcome := caller.OutcomeNotRun
	if a.tally.State() == caller.ClaimWon {
		outcome = rapid.SampledFrom([]caller.Outcome{caller.OutcomeRan, caller.OutcomeRan, caller.OutcomeNotRun, caller.OutcomeUnknown}).Draw(t, "outcome")
	}
	if outcome != caller.OutcomeNotRun {
		w.runs[a.key]++
	}
	if rapid.IntRange(0, 4).Draw(t, "ingress dies") == 0 {
		return
	}
	for _, name := range a.granted {
		w.claims[name].Settle(w.now, w.cfg.Policy(), a.attempt, outcome)
	}
}

// TestClaims runs scripts against one holder. Times count from its start.
func TestClaims(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	policy := platform.NewPolicy(0, 0, 10*time.Minute, distrust)
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
			if made, ok := strings.CutPrefix(key, "made@"); ok {
				at, err := time.ParseDuration(made)
				if err != nil {
					t.Fatal(err)
				}
				key = stamped(begin.Add(at), 1)
			}
			a := caller.NewAttempt("kunde", key, f[3])
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
	tally := caller.NewTally([][]string{{"termin-1", "doku-3", "messung-2"}})
	tally.RecordVote("termin-1", caller.VoteGranted)
	fmt.Println(tally.State() == caller.ClaimWon)
	tally.RecordFailure("doku-3")
	tally.RecordVote("messung-2", caller.VoteGranted)
	fmt.Println(tally.State() == caller.ClaimWon)
	// Output:
	// false
	// true
}

func ExampleRetryBudget() {
	b := caller.NewRetryBudget()
	allowed := 0
	for range 100 {
		b.RecordRequest("doku")
		if b.AllowRetry("doku") {
			allowed++
		}
	}
	fmt.Println(allowed)
	// Output: 29
}
