// Package table provides a concurrent map for state that workers share.
//
// A Table is divided into shards, each with its own ranked lock. Callbacks run
// while the lock of a shard is held: they must be short, may acquire only locks of a
// higher rank, and must not call methods of the same table.
package table
