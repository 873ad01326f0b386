// Package peer keeps a daemon's view of the other daemons and chooses among
// them without an election.
//
// The view merges the platform's instance list, which lags and may be stale,
// with what daemons tell of themselves, which is newer. Entries carry the
// list's revision and the process's incarnation, so that merging in any order
// gives the same view. Choices such as who reads for a data centre are made by
// rendezvous hashing: daemons with the same view choose alike, and daemons with
// different views only cost each other messages.
package peer
