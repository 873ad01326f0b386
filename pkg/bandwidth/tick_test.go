package bandwidth_test

import (
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/bandwidth"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestTickInterval guards against a link that is reviewed every millisecond while nothing can change
// by itself: bodies that are granted wait for slots of the backend server, and the next one waits
// until one of them is requested or ends.
func TestTickInterval(t *testing.T) {
	link := bandwidth.NewLink(10e6 / 8)
	now := time.Unix(1_700_000_000, 0)
	transfer := func(size int) bandwidth.Transfer {
		return bandwidth.NewTransfer(size, caller.NewPriority(false, 0, 2), now.Add(2*time.Second), now.Add(2500*time.Millisecond), 230*time.Millisecond, false)
	}
	first, _, _ := link.Submit(now, transfer(180_000))
	waiting, state, _ := link.Submit(now, transfer(180_000))
	if state != bandwidth.Queued {
		t.Fatalf("state %d", state)
	}
	calls := 0
	for end := now.Add(time.Second); now.Before(end); calls++ {
		next := link.Tick(now)
		if next == 0 {
			break
		}
		now = now.Add(next)
	}
	if calls > 30 {
		t.Errorf("%d calls of Tick in a second", calls)
	}
	link.End(now, first, 0)
	if state, _ := link.State(waiting); state != bandwidth.Granted {
		t.Errorf("state %d after the first body has ended", state)
	}
}
