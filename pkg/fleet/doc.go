// Package fleet tracks the backend server instances that the metadata store
// publishes, and which of them may receive requests.
//
// It follows the store's changes. An entry that disappears without having been
// marked as draining may only have lapsed because it could not be renewed while
// the store was unavailable, so its instance stays usable for a short time, and
// for longer if the store was unavailable recently. An instance is identified by
// its id and its start time, because ids and addresses are reused.
package fleet
