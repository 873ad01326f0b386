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

var begin = time.Unix(1000, 0)

// TestReplica runs scripts against one copy. An item is KEY@REVISION, one with a
// minus was removed.
func TestReplica(t *testing.T) {
	r := replica.New()
	now := begin
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
			changed = r.Apply(now, items(t, d.Input), after, upTo)
		case "replace":
			d.ScanArgs(t, "at", &upTo)
			changed = r.Replace(now, "", items(t, d.Input), upTo)
			r.AdvanceRevision(upTo)
		case "sweep":
			now = now.Add(time.Hour)
			r.PurgeTombstones(now)
		case "since":
			d.ScanArgs(t, "after", &after)
			list, upTo, whole := r.ChangesSince(after)
			return fmt.Sprintf("%supto=%d whole=%t\n", show(list), upTo, whole)
		}
		return fmt.Sprintf("%srevision=%d\n", show(changed), r.Revision())
	})
}

func items(t *testing.T, script string) []replica.Item {
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

func show(list []replica.Item) string {
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

// TestConverge lets copies exchange changes through random histories of cuts,
// stale reads and forgotten removals, and compares with the store.
func TestConverge(t *testing.T) {
	fuzz.Run(t, "testdata/converge", map[string]fuzz.Property{"converge": converge})
}

// converge runs three copies beside a store. broken copies take what they are
// told without looking at revisions.
func converge(t *rapid.T, broken bool) {
	store := make(map[string]replica.Item)
	revision := uint64(0)
	var log []replica.Item
	copies := []*replica.Replica{replica.New(), replica.New(), replica.New()}
	naive := make([]map[string]replica.Item, len(copies))
	for i := range naive {
		naive[i] = make(map[string]replica.Item)
	}
	now := begin
	take := func(to int, list []replica.Item) {
		for _, i := range list {
			naive[to][i.Key()] = i
		}
	}
	draw := func(t *rapid.T) int { return rapid.IntRange(0, len(copies)-1).Draw(t, "copy") }
	t.Repeat(map[string]func(*rapid.T){
		"write": func(t *rapid.T) {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			i := replica.NewItem(key, nil, revision)
			if _, there := store[key]; there && rapid.Bool().Draw(t, "remove") {
				i = replica.NewTombstone(key, revision)
				delete(store, key)
			} else {
				store[key] = i
			}
			log = append(log, i)
		},
		"watch": func(t *rapid.T) {
			to := draw(t)
			after := copies[to].Revision()
			copies[to].Apply(now, log[after:], after, revision)
			take(to, log[after:])
		},
		"stale": func(t *rapid.T) {
			// A read that is behind lists the store as it was.
			to, at := draw(t), rapid.Uint64Range(0, revision).Draw(t, "at")
			was := make(map[string]replica.Item)
			for _, i := range log[:at] {
				if i.Removed() {
					delete(was, i.Key())
				} else {
					was[i.Key()] = i
				}
			}
			list := slices.Collect(maps.Values(was))
			copies[to].Replace(now, "", list, at)
			take(to, list)
		},
		"exchange": func(t *rapid.T) {
			from, to := draw(t), draw(t)
			after := copies[to].Revision()
			list, upTo, whole := copies[from].ChangesSince(after)
			take(to, list)
			if whole && upTo > 0 {
				copies[to].Replace(now, "", list, upTo)
				copies[to].AdvanceRevision(upTo)
			} else {
				copies[to].Apply(now, list, after, upTo)
			}
		},
		"sweep": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "s")) * time.Second)
			copies[draw(t)].PurgeTombstones(now)
		},
		"": func(t *rapid.T) {
			for n, c := range copies {
				if c.Revision() < revision {
					continue
				}
				held := make(map[string]replica.Item)
				list, _, _ := c.ChangesSince(0)
				for _, i := range list {
					held[i.Key()] = i
				}
				if broken {
					held = naive[n]
				}
				for key, i := range store {
					if held[key].Revision() != i.Revision() {
						t.Fatalf("copy %d holds %s@%d, the store has %d", n, key, held[key].Revision(), i.Revision())
					}
				}
				if !broken && len(held) != len(store) {
					t.Fatalf("copy %d holds %d items, the store has %d", n, len(held), len(store))
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
