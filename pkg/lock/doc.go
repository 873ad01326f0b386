// Package lock provides mutexes that carry a place in one stated order.
//
// A goroutine that holds a lock may only take locks of a higher rank, so no
// two goroutines can wait for each other. The order is in order.go. Built with
// the tag lockcheck, an acquisition out of order panics; without the tag a
// Mutex costs what a sync.Mutex costs.
package lock
