package platform

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrBadSignature says that a sign-off does not match its manifest.
	ErrBadSignature = eris.New("signature does not match")
	// ErrUntrustedSigner says that a manifest was signed by a key that does not count.
	ErrUntrustedSigner = eris.New("signer is not trusted")
	// ErrDigestMismatch says that a part's content does not match its digest.
	ErrDigestMismatch = eris.New("part does not match its digest")
	// ErrUnknownBase says that a change applies to a manifest that is not held.
	ErrUnknownBase = eris.New("base of the change is not held")
)

// Problem is one fault of a bundle.
type Problem struct {
	path string
	text string
}

// Path names the faulty field, as in routes[3].service.
func (p Problem) Path() string { return p.path }

// Text says what is wrong with it.
func (p Problem) Text() string { return p.text }

// Problems lists all faults of a bundle, in the bundle's order.
type Problems []Problem

// Error joins the problems, a line each.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.path + ": " + p.text
	}
	return strings.Join(lines, "\n")
}

// Add notes a problem at a path.
func (ps *Problems) Add(path, format string, args ...any) {
	*ps = append(*ps, Problem{path: path, text: fmt.Sprintf(format, args...)})
}
