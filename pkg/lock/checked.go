//go:build lockcheck

package lock

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// Checked reports whether acquisitions out of order panic. It is true with the build
// tag lockcheck.
const Checked = true

// held maps the ID of a goroutine to the ranks that it holds, in the order of their
// acquisition.
var held sync.Map

func recordAcquire(rank Rank) {
	id := goroutineID()
	ranks := heldRanks(id)
	for _, r := range ranks {
		if r >= rank {
			panic(fmt.Sprintf("lock: rank %d taken while rank %d is held", rank, r))
		}
	}
	held.Store(id, append(ranks, rank))
}

func recordRelease(rank Rank) {
	id := goroutineID()
	ranks := heldRanks(id)
	for i, r := range ranks {
		if r == rank {
			ranks = append(ranks[:i], ranks[i+1:]...)
			break
		}
	}
	if len(ranks) == 0 {
		held.Delete(id)
		return
	}
	held.Store(id, ranks)
}

func heldRanks(id uint64) []Rank {
	v, ok := held.Load(id)
	if !ok {
		return nil
	}
	return v.([]Rank)
}

// goroutineID returns the ID of the calling goroutine. The runtime exposes it only
// in the first line of a stack trace.
func goroutineID() uint64 {
	var buf [64]byte
	header := buf[:runtime.Stack(buf[:], false)]
	header = bytes.TrimPrefix(header, []byte("goroutine "))
	digits, _, _ := bytes.Cut(header, []byte(" "))
	id, _ := strconv.ParseUint(string(digits), 10, 64)
	return id
}
