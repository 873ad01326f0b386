package main

// guard is a mutual exclusion lock. Use newGuard to create one.
type guard chan struct{}

func newGuard() guard { return make(guard, 1) }

// Lock implements sync.Locker.
func (g guard) Lock() { g <- struct{}{} }

// Unlock implements sync.Locker.
func (g guard) Unlock() { <-g }
