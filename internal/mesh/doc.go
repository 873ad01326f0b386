// Package mesh runs daemons with stand-ins around them in one process, for the
// tests and benchmarks of what daemons do together.
package mesh
