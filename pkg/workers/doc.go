// Package workers runs decisions on a fixed pool of goroutines.
//
// The edge hands an event to the pool and waits for the verdict; a worker takes
// it through the shared tables. Tasks never block, so the pool's size bounds
// the processor time that decisions take and the queue bounds what waits.
package workers
