package operator

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 digest of a customer's API key. The keys themselves are
// not stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the first four bytes of the digest in hex, enough to tell keys
// apart.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// Customer is a tenant with its API keys and its fleet-wide rate limit.
type Customer struct {
	name     string
	keys     []KeyDigest
	priority int
	rate     float64
	burst    float64
}

// NewCustomer returns a customer with the digests of its API keys, a priority, of
// which 0 is the most urgent, a rate limit in requests per second and a burst in
// requests. A rate of zero means no limit. The slice is retained.
func NewCustomer(name string, keys []KeyDigest, priority int, rate, burst float64) Customer {
	return Customer{name: name, keys: keys, priority: priority, rate: rate, burst: burst}
}

// Name returns the name.
func (c Customer) Name() string { return c.name }

// Priority returns the priority; 0 is the most urgent.
func (c Customer) Priority() int { return c.priority }

// Rate returns the rate limit in requests per second, or zero for no limit.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns the burst in requests.
func (c Customer) Burst() float64 { return c.burst }

// SameLimit reports whether two customers have the same rate limit, burst and priority.
func (c Customer) SameLimit(o Customer) bool {
	return c.rate == o.rate && c.burst == o.burst && c.priority == o.priority
}

// Limited reports whether the customer has a rate limit.
func (c Customer) Limited() bool { return c.rate > 0 }
