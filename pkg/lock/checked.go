//go:build lockcheck

package lock

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// Checked says whether acquisitions out of order panic.
const Checked = true

// held maps a goroutine's number to the ranks it holds, in the order taken.
var held sync.Map

func acquire(rank Rank) {
	id := goroutine()
	ranks := ranksOf(id)
	for _, r := range ranks {
		if r >= rank {
			panic(fmt.Sprintf("lock: rank %d taken while rank %d is held", rank, r))
		}
	}
	held.Store(id, append(ranks, rank))
}

func release(rank Rank) {
	id := goroutine()
	ranks := ranksOf(id)
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

func ranksOf(id uint64) []Rank {
	v, ok := held.Load(id)
	if !ok {
		return nil
	}
	return v.([]Rank)
}

// goroutine returns the number of the calling goroutine, which the runtime
// only tells in the head of a stack trace.
func goroutine() uint64 {
	var buf [64]byte
	head := buf[:runtime.Stack(buf[:], false)]
	head = bytes.TrimPrefix(head, []byte("goroutine "))
	digits, _, _ := bytes.Cut(head, []byte(" "))
	id, _ := strconv.ParseUint(string(digits), 10, 64)
	return id
}
