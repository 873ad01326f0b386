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
// A store that is restored from an older copy assigns revisions again, in a new era. An item
// of a later era takes precedence over any item of an earlier one: a replica adopts the later
// era with a list of all items (ReplaceAll), and ignores items of other eras from then on. Items
// that are missing in the new era stay in force until their writers had time to write them again.
// docs/design/store-era.md describes this.
//
// The package sends no messages and reads no clock: callers read the store, carry the
// results of ChangesSince to other replicas, and pass in the current time.
package replica
