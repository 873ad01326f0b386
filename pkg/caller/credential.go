package caller

// Credential is what a caller presents to show which customer it is: nothing, an API key, or
// something that cannot be one. K identifies an API key, for example by its digest. The zero value
// presents nothing.
type Credential[K any] struct {
	key              K
	presented, isKey bool
}

// NewCredential returns the credential of a caller that presents an API key.
func NewCredential[K any](key K) Credential[K] {
	return Credential[K]{key: key, presented: true, isKey: true}
}

// MalformedCredential returns the credential of a caller that presents something that is not an API
// key.
func MalformedCredential[K any]() Credential[K] { return Credential[K]{presented: true} }

// Key returns the API key, or false if the caller presents none.
func (c Credential[K]) Key() (K, bool) { return c.key, c.isKey }

// Presented reports whether the caller presents anything.
func (c Credential[K]) Presented() bool { return c.presented }

// Identify returns the customer that a caller is, and whether it is one. lookup returns the customer
// that holds an API key. required states that anonymous callers are rejected. The refusal is
// ReasonInvalidKey for them, and for callers whose credential nobody holds even where it is not
// required: they take themselves for a customer, whose limits and priority would not apply.
func Identify[K, C any](c Credential[K], required bool, lookup func(K) (C, bool)) (customer C, identified bool, refusal Reason) {
	if c.isKey {
		customer, identified = lookup(c.key)
	}
	if !identified && (c.presented || required) {
		refusal = ReasonInvalidKey
	}
	return customer, identified, refusal
}
