// Package platform selects the version of the configuration that is in force, for
// fleets whose operators sign the configuration. For configuration that comes
// unsigned from a metadata store, see the packages operator and replica.
//
// A version consists of a Manifest, signed by an operator, and its parts, each
// addressed by the SHA-256 digest of its content. The platform is the operators'
// configuration service, from which daemons read versions and the list of instances;
// they also receive versions from each other. A Store accepts offers from
// any source, in any order and with any delay, and keeps the highest version
// whose signature, parts and content are all valid. A version takes effect by
// an atomic pointer swap: it is applied as a whole or not at all, and a reader
// that holds a Snapshot can use it for as long as it needs.
//
// Versions are ordered by number and then by manifest digest. Signing two
// manifests with the same number is an operator error, but the order is still
// total, so all daemons converge on the same one in whatever order they
// receive them.
//
// A Builder validates the decoded content of a version and returns a Config, which
// serves as the content of a Store together with a Codec.
//
// Store, StartupGate and CallLimiter are safe for concurrent use; a Builder is not.
// Manifest, Snapshot and Config are immutable.
//
// The package reads no clock, performs no I/O and knows no encoding: callers
// pass in the time and a codec for the content.
package platform
