package bundle

import "github.com/rotisserie/eris"

var (
	// ErrTooLarge says that a value is larger than the platform holds.
	ErrTooLarge = eris.New("larger than a megabyte")
	// ErrInvalidKey says that a key file does not hold an Ed25519 key.
	ErrInvalidKey = eris.New("not an Ed25519 key in hex")
)
