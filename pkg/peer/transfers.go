package peer

import (
	"slices"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// Transfers limits how many large messages a process sends at a time. All of them share the
// link of the machine, so that more would not arrive sooner, and small messages would have to
// wait behind them. Messages along the broadcast tree go first; of the others, which repair
// what the tree has missed, one less than the limit is sent at a time.
//
// A Transfers is safe for concurrent use. Use NewTransfers to create one.
type Transfers struct {
	limit int
	// mu has rank lock.Peers and guards the fields below.
	mu *lock.Mutex
	// running is the number of transfers that have started, and repairs the number of
	// those that are not along the tree.
	running, repairs int
	// waiting holds the transfers that have not started, those along the tree first.
	waiting []*Transfer
}

// Transfer is a large message of a Transfers. Only Begin creates transfers.
type Transfer struct {
	repair  bool
	started chan struct{}
}

// NewTransfers returns a limit for the transfers at a time, which must be at least 2.
func NewTransfers(limit int) *Transfers {
	return &Transfers{limit: limit, mu: lock.New(lock.Peers)}
}

// Begin adds a transfer, which may be sent once Started is closed. repair states that it is
// not along the broadcast tree. The caller must call End once it has been sent, or if it is
// not sent any more.
func (t *Transfers) Begin(repair bool) *Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := &Transfer{repair: repair, started: make(chan struct{})}
	at := len(t.waiting)
	if !repair {
		at = slices.IndexFunc(t.waiting, func(w *Transfer) bool { return w.repair })
		if at < 0 {
			at = len(t.waiting)
		}
	}
	t.waiting = slices.Insert(t.waiting, at, added)
	t.startWaiting()
	return added
}

// TryBegin starts a transfer that is not along the broadcast tree, unless it would have to
// wait. The caller must call End once it has been sent.
func (t *Transfers) TryBegin() (*Transfer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 || t.running >= t.limit || t.repairs >= t.limit-1 {
		return nil, false
	}
	started := &Transfer{repair: true, started: make(chan struct{})}
	close(started.started)
	t.running++
	t.repairs++
	return started, true
}

// Started returns a channel that is closed once the transfer may be sent.
func (t *Transfer) Started() <-chan struct{} { return t.started }

// End ends a transfer, whether it has started or not, and lets others start. It must be called
// once for each transfer.
func (t *Transfers) End(ended *Transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, ended); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	t.running--
	if ended.repair {
		t.repairs--
	}
	t.startWaiting()
}

func (t *Transfers) startWaiting() {
	for len(t.waiting) > 0 && t.running < t.limit {
		first := t.waiting[0]
		if first.repair && t.repairs == t.limit-1 {
			// All that wait are repairs.
			return
		}
		t.waiting = slices.Delete(t.waiting, 0, 1)
		t.running++
		if first.repair {
			t.repairs++
		}
		close(first.started)
	}
}
