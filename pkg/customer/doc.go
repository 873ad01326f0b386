// Package customer enforces each customer's rate and burst limit across all
// daemons without shared state.
//
// A limit is split over allotments by a function of the bundle alone. An allotment
// is a token bucket held by the daemon of one slot, so no two daemons hold the same
// tokens. Daemons borrow tokens from allotments and spend them on requests. A
// borrowed token expires a short validity period after it was requested.
//
// The tokens issued in any window of length t are bounded by the sum of the
// allotments' bursts plus rate times t. A token is spent at most the validity
// period L after its issue, so the tokens spent in a window are bounded by those
// issued in a window longer by L. SplitLimit therefore subtracts rate times L from
// the burst, or for a burst of one adds L to the interval between tokens. The
// customer's own rate and burst then hold at any time, even if a daemon resumes
// after an arbitrarily long delay.
//
// When a bundle changes a split, an allotment whose share increases waits until
// each slot whose share decreases has been observed at that version or a later one.
package customer
