// Package mesh runs daemons and stand-ins in one process, for tests and benchmarks of how
// daemons work together.
package mesh
