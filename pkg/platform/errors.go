package platform

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrBadSignature reports a signature that does not match its manifest.
	ErrBadSignature = eris.New("signature does not match")
	// ErrUntrustedSigner reports a manifest signed by a key that is not trusted.
	ErrUntrustedSigner = eris.New("signer is not trusted")
	// ErrDigestMismatch reports a part whose content does not match its digest. No
	// function of this package returns it.
	ErrDigestMismatch = eris.New("part does not match its digest")
	// ErrUnknownBase reports a change to a manifest that the store does not have.
	ErrUnknownBase = eris.New("base manifest of the change is not in the store")
)

// Problem is one validation error of a version.
type Problem struct {
	path string
	text string
}

// Path returns the path of the invalid field, as in routes[3].service.
func (p Problem) Path() string { return p.path }

// Text describes the error.
func (p Problem) Text() string { return p.text }

// Problems lists all validation errors of a version, in the order of its fields. It
// is the error that Builder.Build returns.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.path + ": " + p.text
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem of the field at path.
func (ps *Problems) Add(path, format string, args ...any) {
	*ps = append(*ps, Problem{path: path, text: fmt.Sprintf(format, args...)})
}
