// Package replica maintains a replica of the operators' metadata store, a key-value
// store, in each of many processes.
//
// The store assigns each change a monotonically increasing revision. An item with
// a higher revision replaces one with a lower revision, so replicas can merge
// items in any order, whether from the store, from stale reads of it, or from
// other replicas, and never revert to older values. A replica is complete up to a
// revision if it reflects every change up to that revision. Removed items are
// retained for a while as tombstones, so that other replicas learn of the
// removal; a replica that is too far behind for this receives all items.
//
// The package sends no messages and reads no clock: callers read the store, carry the
// results of ChangesSince to other replicas, and pass in the current time.
package replica
