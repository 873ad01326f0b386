package peer_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/peer"
)

// TestMembers runs scripts against the membership view of the daemon named self.
func TestMembers(t *testing.T) {
	datadriven.RunTest(t, "testdata/members", func(t *testing.T, d *datadriven.TestData) string {
		m := peer.NewMembers(newInstance("self", "muc", "1"))
		now := time.Unix(0, 0)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "list":
				fmt.Fprintf(&out, "%s: counted %t\n", line, m.ApplyList(parseUint(t, f[1]), parseInstances(t, f[2:], 0)))
			case "told":
				m.Merge(parseInstances(t, f[2:], parseUint(t, f[1])))
			case "failed":
				m.RecordFailure(now, f[1])
			case "answered":
				m.RecordSuccess(f[1])
			case "after":
				elapsed, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(elapsed)
			case "leave":
				m.Leave()
			}
			fmt.Fprintf(&out, "%s: live %v, at %s\n", line, m.Live(now, "muc"), addresses(m))
		}
		return out.String()
	})
}

func newInstance(name, centre, port string) peer.Instance {
	return peer.NewInstance(name, "documents", centre, "127.0.0.1:"+port, "127.0.0.1:9"+port)
}

// parseInstances parses fields of the form name@port, or name@port! for a daemon
// that is leaving.
func parseInstances(t *testing.T, fields []string, incarnation uint64) []peer.Instance {
	var list []peer.Instance
	for _, f := range fields {
		name, port, ok := strings.Cut(f, "@")
		if !ok {
			t.Fatalf("instance %q: want name@port", f)
		}
		port, leaving := strings.CutSuffix(port, "!")
		list = append(list, newInstance(name, "muc", port).WithVersion(0, incarnation).WithState(leaving, false))
	}
	return list
}

func parseUint(t *testing.T, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// addresses formats the view in the form that parseInstances reads.
func addresses(m *peer.Members) string {
	var list []string
	for _, i := range m.All() {
		list = append(list, i.Name()+"@"+strings.TrimPrefix(i.PeerAddress(), "127.0.0.1:"))
	}
	return strings.Join(list, " ")
}

// TestPeers checks properties of the membership view and of rendezvous hashing.
func TestPeers(t *testing.T) {
	fuzz.Run(t, "testdata/peers", map[string]fuzz.Property{
		"merge": mergeOrder,
		"tree":  treeReaches,
		"rank":  rankStable,
	})
}

// mergeOrder checks that the result of merging entries does not depend on their
// order.
func mergeOrder(t *rapid.T, _ bool) {
	var updates []peer.Instance
	for range rapid.IntRange(1, 20).Draw(t, "entries") {
		i := newInstance(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), "muc", "1").
			WithVersion(rapid.Uint64Range(0, 3).Draw(t, "revision"), rapid.Uint64Range(0, 3).Draw(t, "incarnation")).
			WithState(rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "gone"))
		updates = append(updates, i)
	}
	var views [][]byte
	for range 2 {
		m := peer.NewMembers(newInstance("self", "muc", "1"))
		for _, i := range rapid.Permutation(updates).Draw(t, "order") {
			m.Merge([]peer.Instance{i})
		}
		views = append(views, m.Digests())
	}
	if !slices.Equal(views[0], views[1]) {
		t.Fatalf("digests differ after merging the same entries in different orders: %x and %x", views[0], views[1])
	}
}

// treeReaches checks that a broadcast along the tree that Children defines reaches
// every daemon exactly once.
func treeReaches(t *rapid.T, _ bool) {
	var names []string
	for i := range rapid.IntRange(1, 200).Draw(t, "daemons") {
		names = append(names, fmt.Sprint("d", i))
	}
	fanout := rapid.IntRange(1, 6).Draw(t, "fanout")
	order := peer.Rank("version", names)
	reached := map[string]int{order[0]: 1}
	for todo := order[:1]; len(todo) > 0; todo = todo[1:] {
		for _, child := range peer.Children(order, todo[0], fanout) {
			reached[child]++
			todo = append(slices.Clone(todo), child)
		}
	}
	for _, name := range names {
		if reached[name] != 1 {
			t.Fatalf("%s reached %d times, want 1", name, reached[name])
		}
	}
}

// rankStable checks that removing a name keeps the relative order of the others,
// and that Top returns the first names of Rank.
func rankStable(t *rapid.T, _ bool) {
	names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{3}"), 2, 30, rapid.ID).Draw(t, "names")
	seed := rapid.String().Draw(t, "seed")
	gone := rapid.SampledFrom(names).Draw(t, "gone")
	without := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(n string) bool { return n == gone })
	}
	n := rapid.IntRange(0, 5).Draw(t, "n")
	if got, want := peer.Top(seed, names, n), peer.Rank(seed, names); !slices.Equal(got, want[:min(n, len(want))]) {
		t.Fatalf("top %d: got %v, want the first names of %v", n, got, want)
	}
	if got, want := peer.Rank(seed, without(names)), without(peer.Rank(seed, names)); !slices.Equal(got, want) {
		t.Fatalf("rank without %s: got %v, want %v", gone, got, want)
	}
}

func ExampleTop() {
	daemons := []string{"documents-1", "documents-2", "appointments-1", "appointments-2"}
	before := peer.Top("muc", daemons, 2)
	after := peer.Top("muc", append(daemons, "measurements-1"), 2)
	fmt.Println(len(before), len(after), before[0] == after[0] || after[0] == "measurements-1")
	// Output: 2 2 true
}
