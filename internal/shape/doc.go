// Package shape checks structural rules of the code base: which packages may be imported
// where, that structs have no exported fields, that the packages below pkg do not read the
// clock, and that every lock has a rank in the lock order.
package shape
