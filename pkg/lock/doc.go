// Package lock provides mutexes with a rank in a global lock order.
//
// A goroutine that holds a lock may acquire only locks of a higher rank, which
// rules out deadlocks. The order is defined in order.go. With the build tag
// lockcheck, an acquisition out of order panics; without the tag, a Mutex costs the
// same as a sync.Mutex.
package lock
