// Package logs writes log lines without ever holding up whoever logs.
//
// A Writer buffers lines and writes them out in the background. Each class of
// lines has a rate of its own; lines beyond it, and lines that a reader is too slow
// for, are dropped and counted, and the count is written as a line of its own. So
// the volume is bounded under any load, and refusals and changes of belief are not
// displaced by successes.
package logs
