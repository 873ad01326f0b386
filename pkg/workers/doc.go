// Package workers runs decisions on a fixed pool of goroutines.
//
// A network front end submits an event to the pool and waits for the decision, which
// a worker makes using the shared tables. Tasks never block, so the size of the pool
// limits the processor time spent on decisions, and the queue limits the number of
// waiting tasks.
package workers
