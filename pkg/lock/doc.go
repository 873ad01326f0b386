// Package lock provides mutexes with a rank in a global lock order.
//
// A goroutine that holds a lock may acquire only locks of a higher rank, which
// rules out deadlocks. The ranks are the constants of type Rank. With the build tag
// lockcheck, an acquisition out of order panics, and a goroutine must unlock the
// mutexes that it locked itself; without the tag, a Mutex costs the same as a
// sync.Mutex.
package lock
