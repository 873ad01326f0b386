package bundle

import "errors"

var (
	// ErrLarge says that a value is larger than the platform holds.
	ErrLarge = errors.New("larger than a megabyte")
	// ErrKey says that a key file does not hold an Ed25519 key.
	ErrKey = errors.New("not an Ed25519 key in hex")
)
