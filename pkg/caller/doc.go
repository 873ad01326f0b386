// Package caller decides what a caller may be told of its request.
//
// Every answer has an Outcome: the request ran, it did not run, or that is not
// known. A request that must run once and names an idempotency key is claimed
// at three holders in different data centres before it is sent anywhere, and
// needs two of them; so two daemons never both win one key, whichever daemons
// die or are cut off. Holders keep their records in memory. One that has just
// started abstains on keys that it may have forgotten, until its policy's time
// of distrust has passed; a key that is a UUIDv7 tells when it was made, and a
// holder vouches at once for keys made after its own start.
//
// Holders are a function of the bundle alone. Where a bundle changes the slots,
// a claim needs a majority of the old holders and of the new ones until the
// records of the old ones have ended.
package caller
