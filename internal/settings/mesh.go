package settings

import (
	"fmt"
	"os"

	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// LoadIdentity loads the certificates and the key for mutual TLS between daemons.
func LoadIdentity(s *schema.Settings) (*peerquic.Identity, error) {
	m := s.GetMesh()
	var pems [3][]byte
	for i, path := range []string{m.GetAuthority(), m.GetCertificate(), m.GetKey()} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnusableFile, err)
		}
		pems[i] = text
	}
	id, err := peerquic.NewIdentity(pems[0], pems[1], pems[2])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnusableFile, err)
	}
	return id, nil
}
