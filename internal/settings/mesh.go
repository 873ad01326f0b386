package settings

import (
	"fmt"
	"os"

	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// LoadIdentity reads the files for mutual TLS between daemons.
func LoadIdentity(s *schema.Settings) (*peerquic.Identity, error) {
	m := s.GetMesh()
	var texts [3][]byte
	for i, path := range []string{m.GetAuthority(), m.GetCertificate(), m.GetKey()} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnusableFile, err)
		}
		texts[i] = text
	}
	id, err := peerquic.NewIdentity(texts[0], texts[1], texts[2])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnusableFile, err)
	}
	return id, nil
}
