package bundle

import "github.com/rotisserie/eris"

var (
	// ErrLarge says that a value is larger than the platform holds.
	ErrLarge = eris.New("larger than a megabyte")
	// ErrKey says that a key file does not hold an Ed25519 key.
	ErrKey = eris.New("not an Ed25519 key in hex")
)
