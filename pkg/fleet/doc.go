// Package fleet tracks the instances of backend servers that are published in a
// metadata store, and which of them may receive requests.
//
// The owner of a Fleet watches the store and reports its changes. An entry that
// disappears without having been marked as draining may only have expired because it
// could not be renewed while the store was unavailable, so its instance stays usable
// for a short time, and for longer if the store was unavailable recently. An instance
// is identified by its id and its start time, because ids and addresses are reused.
//
// A Fleet is safe for concurrent use. The package reads no clock: callers pass in the
// current time.
package fleet
