// Package logs writes log lines without ever blocking the caller.
//
// A Writer buffers lines and writes them in the background. The rate of each class of
// lines is limited separately. Lines beyond that rate, lines that do not fit into the
// buffer because the reader is too slow, and lines that cannot be written are dropped and
// counted, and the count is logged as a line of its own as soon as the output accepts it.
// The volume is thus bounded under any load, and lines on unknown outcomes and state
// changes are not crowded out by those on successes and refusals.
package logs
