// Package table provides the shared containers that workers decide over.
//
// A Table is split into shards with one ranked lock each. Functions handed to
// it run under the shard's lock: they must be short and may only take locks of
// a higher rank.
package table
