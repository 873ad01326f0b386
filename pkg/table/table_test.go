package table_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// TestTable compares a table with a built-in map over random operations.
func TestTable(t *testing.T) {
	fuzz.Run(t, "testdata/table", map[string]fuzz.Property{"table": compareWithMap})
}

func compareWithMap(t *rapid.T, _ bool) {
	got := table.New[uint8, int](lock.Claims)
	want := make(map[uint8]int)
	key := rapid.Uint8Range(0, 40)
	t.Repeat(map[string]func(*rapid.T){
		"put": func(t *rapid.T) {
			k, v := key.Draw(t, "key"), rapid.Int().Draw(t, "value")
			got.Put(k, v)
			want[k] = v
		},
		"delete": func(t *rapid.T) {
			k := key.Draw(t, "key")
			got.Delete(k)
			delete(want, k)
		},
		"sweep": func(t *rapid.T) {
			below := key.Draw(t, "below")
			got.Sweep(func(k uint8, _ int) bool { return k < below })
			maps.DeleteFunc(want, func(k uint8, _ int) bool { return k >= below })
		},
		"": func(t *rapid.T) {
			all := make(map[uint8]int)
			got.Each(func(k uint8, v int) { all[k] = v })
			if !maps.Equal(all, want) || got.Len() != len(want) {
				t.Fatalf("got %v, want %v", all, want)
			}
		},
	})
}

func ExampleTable_Update() {
	calls := table.New[string, int](lock.Budgets)
	for range 3 {
		calls.Update("orders", func(n int, _ bool) (int, bool) { return n + 1, true })
	}
	n, _ := calls.Get("orders")
	fmt.Println(n)
	// Output: 3
}
