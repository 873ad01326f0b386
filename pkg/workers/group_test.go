package workers_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/lycheehead/lycheehead/pkg/workers"
)

// TestGroup adds goroutines while groups are being closed. Close must wait for each
// goroutine that Go accepted. A plain sync.WaitGroup panics in this situation.
func TestGroup(t *testing.T) {
	for range 300 {
		g := workers.NewGroup()
		var started, ended atomic.Int64
		var adders sync.WaitGroup
		for range 8 {
			adders.Go(func() {
				for g.Go(func() { ended.Add(1) }) {
					started.Add(1)
				}
			})
		}
		g.Close()
		endedAtClose := ended.Load()
		adders.Wait()
		if started.Load() != ended.Load() || endedAtClose != ended.Load() {
			t.Fatalf("%d goroutines started, %d had ended when Close returned, %d in the end", started.Load(), endedAtClose, ended.Load())
		}
	}
}

func ExampleGroup() {
	g := workers.NewGroup()
	g.Go(func() { fmt.Println("finished before Close returns") })
	g.Close()
	fmt.Println(g.Go(func() {}))
	// Output:
	// finished before Close returns
	// false
}
