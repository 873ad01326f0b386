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
// KEY@REVISION, a tombstone as -KEY@REVISION.
func TestReplica(t *testing.T) {
	r := replica.New()
	now := epoch
	datadriven.RunTest(t, "testdata/replica", func(t *testing.T, d *datadriven.TestData) string {
		var after, upTo uint64
		var changed []replica.Item
		switch d.Cmd {
		case "new":
			r = replica.New()
			return ""
		case "apply":
			d.ScanArgs(t, "after", &after)
			d.ScanArgs(t, "upto", &upTo)
			changed = r.Apply(now, parseItems(t, d.Input), after, upTo)
		case "replace":
			d.ScanArgs(t, "at", &upTo)
			changed = r.Replace(now, "", parseItems(t, d.Input), upTo)
			r.AdvanceRevision(upTo)
		case "sweep":
			now = now.Add(time.Hour)
			r.PurgeTombstones(now)
		case "since":
			d.ScanArgs(t, "after", &after)
			list, upTo, full := r.ChangesSince(after)
			return fmt.Sprintf("%supto=%d whole=%t\n", formatItems(list), upTo, full)
		}
		return fmt.Sprintf("%srevision=%d\n", formatItems(changed), r.Revision())
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
			list = append(list, replica.NewItem(name, []byte(rev), n))
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
// histories of partial exchanges, stale reads and purged tombstones.
func TestConverge(t *testing.T) {
	fuzz.Run(t, "testdata/converge", map[string]fuzz.Property{"converge": converge})
}

// converge runs three replicas of a store. If broken is set, it checks naive
// replicas instead, which overwrite items without comparing revisions.
func converge(t *rapid.T, broken bool) {
	store := make(map[string]replica.Item)
	revision := uint64(0)
	var log []replica.Item
	replicas := []*replica.Replica{replica.New(), replica.New(), replica.New()}
	naive := make([]map[string]replica.Item, len(replicas))
	for i := range naive {
		naive[i] = make(map[string]replica.Item)
	}
	now := epoch
	applyNaive := func(to int, list []replica.Item) {
		for _, i := range list {
			naive[to][i.Key()] = i
		}
	}
	drawIndex := func(t *rapid.T) int { return rapid.IntRange(0, len(replicas)-1).Draw(t, "copy") }
	t.Repeat(map[string]func(*rapid.T){
		"write": func(t *rapid.T) {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			i := replica.NewItem(key, nil, revision)
			if _, exists := store[key]; exists && rapid.Bool().Draw(t, "remove") {
				i = replica.NewTombstone(key, revision)
				delete(store, key)
			} else {
				store[key] = i
			}
			log = append(log, i)
		},
		"watch": func(t *rapid.T) {
			to := drawIndex(t)
			after := replicas[to].Revision()
			replicas[to].Apply(now, log[after:], after, revision)
			applyNaive(to, log[after:])
		},
		"stale": func(t *rapid.T) {
			// A stale read lists the store as of an earlier revision.
			to, at := drawIndex(t), rapid.Uint64Range(0, revision).Draw(t, "at")
			state := make(map[string]replica.Item)
			for _, i := range log[:at] {
				if i.Removed() {
					delete(state, i.Key())
				} else {
					state[i.Key()] = i
				}
			}
			list := slices.Collect(maps.Values(state))
			replicas[to].Replace(now, "", list, at)
			applyNaive(to, list)
		},
		"exchange": func(t *rapid.T) {
			from, to := drawIndex(t), drawIndex(t)
			after := replicas[to].Revision()
			list, upTo, full := replicas[from].ChangesSince(after)
			applyNaive(to, list)
			if full && upTo > 0 {
				replicas[to].Replace(now, "", list, upTo)
				replicas[to].AdvanceRevision(upTo)
			} else {
				replicas[to].Apply(now, list, after, upTo)
			}
		},
		"sweep": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "s")) * time.Second)
			replicas[drawIndex(t)].PurgeTombstones(now)
		},
		"": func(t *rapid.T) {
			for n, r := range replicas {
				if r.Revision() < revision {
					continue
				}
				got := make(map[string]replica.Item)
				list, _, _ := r.ChangesSince(0)
				for _, i := range list {
					got[i.Key()] = i
				}
				if broken {
					got = naive[n]
				}
				for key, i := range store {
					if got[key].Revision() != i.Revision() {
						t.Fatalf("replica %d has %s@%d, store has revision %d", n, key, got[key].Revision(), i.Revision())
					}
				}
				if !broken && len(got) != len(store) {
					t.Fatalf("replica %d has %d items, store has %d", n, len(got), len(store))
				}
			}
		},
	})
}

func ExampleReplica() {
	r := replica.New()
	now := time.Unix(0, 0)
	r.Apply(now, []replica.Item{replica.NewItem("op/config", []byte("v2"), 7)}, 0, 7)
	older := []replica.Item{replica.NewItem("op/config", []byte("v1"), 3)}
	fmt.Println(len(r.Apply(now, older, 0, 3)), r.Revision())
	// Output: 0 7
}
