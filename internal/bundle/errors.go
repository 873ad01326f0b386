package bundle

import "github.com/rotisserie/eris"

var (
	// ErrTooLarge reports that a value exceeds MaxValueBytes.
	ErrTooLarge = eris.New("larger than the platform's limit of 1 MiB")
	// ErrInvalidKey reports that a text is not an Ed25519 key.
	ErrInvalidKey = eris.New("not a hex-encoded Ed25519 key")
)
