// Package workers runs decisions on a fixed pool of goroutines.
//
// A network front end calls Do with a decision, such as whether to admit a request, and
// waits for the result. A worker makes the decision using shared tables. Decisions
// must not block, so that the size of the pool limits the processor time spent on them
// and the queue limits the number of waiting ones.
//
// A Group is for goroutines that may block, such as those that copy message bodies: it
// waits for them at shutdown.
package workers
