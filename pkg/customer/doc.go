// Package customer enforces each customer's rate and burst limit across all
// daemons without shared state. A daemon runs beside each backend server and admits
// requests of any customer.
//
// It implements this in two independent ways; a program uses one of them. With
// allotments, a limit has no tolerance. The types are Split, SplitCache, Lender and
// Borrower. With leases, the requests in any window of a given length may exceed the
// limit by a given tolerance, and the parts of a limit follow the demand. The types
// are RateBound, Quota, Allocator and TokenCache. StaticLimiter is a baseline for
// comparisons.
//
// All types that hold state are safe for concurrent use. The package reads no clock
// and sends no messages: callers pass in the current time and carry requests between
// daemons.
//
// # Allotments
//
// A limit is split over allotments by a function of the configuration alone. An
// allotment is a token bucket held by the daemon beside one backend server, so no two
// daemons hold the same tokens. Daemons borrow tokens from allotments and spend them
// on requests. A borrowed token expires a short validity period after it was
// requested.
//
// The tokens issued in any window of length t are bounded by the sum of the
// allotments' bursts plus rate times t. A token is spent at most the validity
// period L after its issue, so the tokens spent in a window are bounded by those
// issued in a window longer by L. SplitLimit therefore subtracts rate times L from
// the burst, or for a burst of one adds L to the interval between tokens. The
// customer's own rate and burst then hold at any time, even if a daemon resumes
// after an arbitrarily long delay.
//
// When a new version of the configuration changes a split, an allotment whose share
// increases waits until each daemon whose share decreases has been observed to run a
// version with the new split. A limit may be exceeded if a daemon starts or restarts
// meanwhile, since it does not know the previous split, or if two daemon processes
// run beside the same backend server.
//
// # Leases
//
// Each data centre owns a fixed fraction of a limit, which it lends whether or not other
// data centres can be reached. Only of limits that are too small for the number of data
// centres does none own a part. The rest is shared: part of it is
// leased to daemons according to their demand, for some seconds, and part is the
// reserve, which is lent in single tokens. For each customer, one daemon of a data
// centre lends the tokens of its fraction and its lease from a Quota, and one daemon
// of the fleet grants the leases with an Allocator. The other daemons borrow tokens
// into a TokenCache.
package customer
