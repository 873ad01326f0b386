package replica_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

var epoch = time.Unix(1000, 0)

// TestReplica runs scripts against one replica. An item is written as
// KEY@REVISION or KEY=VALUE@REVISION, a tombstone as -KEY@REVISION. Arguments era= are 0 if
// they are missing.
func TestReplica(t *testing.T) {
	for _, path := range []string{"testdata/replica", "testdata/era"} {
		runScript(t, path)
	}
}

func runScript(t *testing.T, path string) {
	r := replica.New()
	now := epoch
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		var after, upTo, era uint64
		var changed []replica.Item
		d.MaybeScanArgs(t, "era", &era)
		switch d.Cmd {
		case "new":
			r = replica.New()
			return ""
		case "apply":
			d.ScanArgs(t, "after", &after)
			d.ScanArgs(t, "upto", &upTo)
			changed = r.Apply(now, parseItems(t, d.Input), after, replica.NewPosition(era, upTo))
		case "replace":
			d.ScanArgs(t, "at", &upTo)
			at := replica.NewPosition(era, upTo)
			changed = r.Replace(now, "", parseItems(t, d.Input), at)
			r.AdvanceTo(at)
		case "all":
			d.ScanArgs(t, "at", &upTo)
			var newEra bool
			changed, newEra = r.ReplaceAll(now, parseItems(t, d.Input), replica.NewPosition(era, upTo))
			return fmt.Sprintf("%sposition=%s new=%t leftovers=%d\n", formatItems(changed), r.Position(), newEra, r.Leftovers())
		case "wait": // lets time pass and prints the items that are treated as removed
			var length string
			d.ScanArgs(t, "for", &length)
			passed, err := time.ParseDuration(length)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(passed)
			return fmt.Sprintf("%sleftovers=%d\n", formatItems(r.Expire(now)), r.Leftovers())
		case "removal": // prints when an item was removed
			revision, ok := r.Removal(d.CmdArgs[0].Key)
			return fmt.Sprintf("revision=%d removed=%t\n", revision, ok)
		case "sweep":
			now = now.Add(time.Hour)
			r.PurgeTombstones(now)
		case "since":
			d.ScanArgs(t, "after", &after)
			list, upTo, full := r.ChangesSince(replica.NewPosition(era, after))
			return fmt.Sprintf("%supto=%d whole=%t\n", formatItems(list), upTo.Revision(), full)
		}
		return fmt.Sprintf("%srevision=%d\n", formatItems(changed), r.Position().Revision())
	})
}

func parseItems(t *testing.T, script string) []replica.Item {
	var list []replica.Item
	for word := range strings.FieldsSeq(script) {
		name, rev, _ := strings.Cut(word, "@")
		n, err := strconv.ParseUint(rev, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		if key, removed := strings.CutPrefix(name, "-"); removed {
			list = append(list, replica.NewTombstone(key, n))
		} else {
			key, value, ok := strings.Cut(name, "=")
			if !ok {
				value = rev
			}
			list = append(list, replica.NewItem(key, []byte(value), n))
		}
	}
	return list
}

func formatItems(list []replica.Item) string {
	var out strings.Builder
	for _, i := range list {
		sign := ""
		if i.Removed() {
			sign = "-"
		}
		fmt.Fprintf(&out, "%s%s@%d ", sign, i.Key(), i.Revision())
	}
	return out.String()
}

// TestConverge checks that replicas converge to the store through random
// histories of partial exchanges, stale reads, purged tombstones and restored stores.
func TestConverge(t *testing.T) {
	fuzz.Run(t, "testdata/converge", map[string]fuzz.Property{"converge": converge, "restored": restored})
}

func converge(t *rapid.T, broken bool) { checkConvergence(t, broken, false) }

// restored is converge with a store that is restored from older copies. If broken is set, the
// replicas are those of a store without eras.
func restored(t *rapid.T, broken bool) { checkConvergence(t, broken, true) }

// history is the history of the store in one era, which begins with that of an older copy.
type history struct {
	era     uint64
	changes []replica.Item
}

func (h history) position() replica.Position {
	return replica.NewPosition(h.era, uint64(len(h.changes)))
}

// list returns the content as of a revision.
func (h history) list(at uint64) []replica.Item {
	state := make(map[string]replica.Item)
	for _, i := range h.changes[:at] {
		if i.Removed() {
			delete(state, i.Key())
		} else {
			state[i.Key()] = i
		}
	}
	return slices.Collect(maps.Values(state))
}

// checkConvergence runs three replicas of a store, which is restored from time to time if
// restores is set. If broken is set, it checks replicas instead that overwrite items without
// comparing revisions or, with restores, without eras.
func checkConvergence(t *rapid.T, broken, restores bool) {
	eras := []history{{}}
	store := func() *history { return &eras[len(eras)-1] }
	replicas := []*replica.Replica{replica.New(), replica.New(), replica.New()}
	naive := make([]map[string]replica.Item, len(replicas))
	for i := range naive {
		naive[i] = make(map[string]replica.Item)
	}
	now := epoch
	applyNaive := func(to int, list []replica.Item) {
		for _, i := range list {
			if restores && naive[to][i.Key()].Revision() > i.Revision() {
				continue
			}
			naive[to][i.Key()] = i
		}
	}
	drawIndex := func(t *rapid.T) int { return rapid.IntRange(0, len(replicas)-1).Draw(t, "copy") }
	t.Repeat(map[string]func(*rapid.T){
		"write": func(t *rapid.T) {
			s := store()
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			i := replica.NewItem(key, fmt.Append(nil, s.era), uint64(len(s.changes)+1))
			exists := slices.ContainsFunc(s.list(uint64(len(s.changes))), func(i replica.Item) bool { return i.Key() == key })
			if exists && rapid.Bool().Draw(t, "remove") {
				i = replica.NewTombstone(key, i.Revision())
			}
			s.changes = append(s.changes, i)
		},
		"restore": func(t *rapid.T) {
			s := store()
			if !restores || len(s.changes) == 0 {
				t.Skip("no restore")
			}
			kept := rapid.IntRange(1, len(s.changes)).Draw(t, "kept")
			eras = append(eras, history{era: s.era + 1, changes: slices.Clone(s.changes[:kept])})
		},
		"watch": func(t *rapid.T) {
			s, to := store(), drawIndex(t)
			at := replicas[to].Position()
			if at.Era() != s.era {
				list := s.list(uint64(len(s.changes)))
				replicas[to].ReplaceAll(now, list, s.position())
				applyNaive(to, list)
				return
			}
			replicas[to].Apply(now, s.changes[at.Revision():], at.Revision(), s.position())
			applyNaive(to, s.changes[at.Revision():])
		},
		"stale": func(t *rapid.T) {
			// A stale read lists the store as of an earlier revision, maybe of an earlier era.
			s := eras[rapid.IntRange(0, len(eras)-1).Draw(t, "era")]
			to, at := drawIndex(t), rapid.Uint64Range(0, uint64(len(s.changes))).Draw(t, "at")
			list := s.list(at)
			replicas[to].Replace(now, "", list, replica.NewPosition(s.era, at))
			applyNaive(to, list)
		},
		"late": func(t *rapid.T) {
			// A slow peer sends changes that it learned of in an earlier era.
			s, to := eras[rapid.IntRange(0, len(eras)-1).Draw(t, "era")], drawIndex(t)
			after := rapid.Uint64Range(0, uint64(len(s.changes))).Draw(t, "after")
			replicas[to].Apply(now, s.changes[after:], after, s.position())
			applyNaive(to, s.changes[after:])
		},
		"exchange": func(t *rapid.T) {
			from, to := drawIndex(t), drawIndex(t)
			after := replicas[to].Position()
			list, upTo, full := replicas[from].ChangesSince(after)
			applyNaive(to, list)
			if full && upTo.Revision() > 0 {
				replicas[to].ReplaceAll(now, list, upTo)
			} else {
				replicas[to].Apply(now, list, after.Revision(), upTo)
			}
		},
		"sweep": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "s")) * time.Second)
			n := drawIndex(t)
			replicas[n].PurgeTombstones(now)
			replicas[n].Expire(now)
		},
		"": func(t *rapid.T) {
			s := store()
			want := s.list(uint64(len(s.changes)))
			for n, r := range replicas {
				if r.Position().Before(s.position()) {
					continue
				}
				got := make(map[string]replica.Item)
				list, _, _ := r.ChangesSince(replica.Position{})
				for _, i := range list {
					got[i.Key()] = i
				}
				if broken {
					got = naive[n]
				}
				for _, i := range want {
					if has := got[i.Key()]; has.Revision() != i.Revision() || string(has.Value()) != string(i.Value()) {
						t.Fatalf("replica %d has %s@%d of era %s, store has revision %d of era %s", n, i.Key(), has.Revision(), has.Value(), i.Revision(), i.Value())
					}
				}
				if !broken && len(got) != len(want) {
					t.Fatalf("replica %d has %d items, store has %d", n, len(got), len(want))
				}
			}
		},
	})
}

func ExampleReplica() {
	r := replica.New()
	now := time.Unix(0, 0)
	r.Apply(now, []replica.Item{replica.NewItem("op/config", []byte("v2"), 7)}, 0, replica.NewPosition(0, 7))
	older := []replica.Item{replica.NewItem("op/config", []byte("v1"), 3)}
	fmt.Println(len(r.Apply(now, older, 0, replica.NewPosition(0, 3))), r.Position())
	// Output: 0 0/7
}
