package main

// guard is a mutual exclusion lock. Use newGuard to create one.
type guard chan struct{}

func newGuard() guard { return make(guard, 1) }

func (g guard) lock() { g <- struct{}{} }

func (g guard) unlock() { <-g }
