// Package platform decides which version of the configuration is in force.
//
// A version is a Manifest, signed off by an operator, and its parts, each named
// by the SHA-256 of its content. A Store takes offers from any source, however
// late or crossed, and keeps the highest version whose sign-off, parts and
// content are all good. It puts a version in force by one pointer swap, so a
// version is applied whole or not at all, and readers that pin a Snapshot keep
// it while they need it.
//
// Versions are ordered by number and then by digest. Two sign-offs of one
// number are an operator's mistake, but they still have one order, so all
// daemons end with the same one of them whichever they hear of first.
//
// Nothing here reads a clock, a network or an encoding: instants and decoded
// content are handed in.
package platform
