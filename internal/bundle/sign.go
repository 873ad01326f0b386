package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// Release is a signed bundle version, ready to be published.
type Release struct {
	manifest *platform.Manifest
	blobs    [][]byte
}

// Manifest returns the signed manifest.
func (r Release) Manifest() *platform.Manifest { return r.manifest }

// Blobs returns the contents of the manifest's parts, in manifest order.
func (r Release) Blobs() [][]byte { return r.blobs }

// Sign splits a bundle into parts and signs the manifest that lists them.
func Sign(b *schema.Bundle, key ed25519.PrivateKey) (Release, error) {
	parts, blobs, err := Split(b)
	if err != nil {
		return Release{}, fmt.Errorf("split version %d: %w", b.GetVersion(), err)
	}
	m := platform.NewManifest(b.GetVersion(), parts).Sign(key)
	return Release{manifest: m, blobs: blobs}, nil
}

// EncodeManifest encodes a manifest as a value to be stored on the platform.
func EncodeManifest(m *platform.Manifest) ([]byte, error) {
	out := schema.Manifest_builder{
		Version:   proto.Uint64(m.Version().Number()),
		Signer:    m.Signer(),
		Signature: m.Signature(),
		Parts:     EncodeParts(m.Parts()),
	}.Build()
	data, err := proto.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	return data, nil
}

// DecodeManifest decodes a value written by EncodeManifest. The signature is not
// verified.
func DecodeManifest(data []byte) (*platform.Manifest, error) {
	in := &schema.Manifest{}
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, fmt.Errorf("decode manifest: %w", err)
	}
	m := platform.NewManifest(in.GetVersion(), DecodeParts(in.GetParts()))
	return m.WithSignature(in.GetSigner(), in.GetSignature()), nil
}

// EncodeParts converts parts to schema messages.
func EncodeParts(parts []platform.Part) []*schema.Part {
	out := make([]*schema.Part, 0, len(parts))
	for _, p := range parts {
		digest := p.Digest()
		out = append(out, schema.Part_builder{
			Name:   proto.String(p.Name()),
			Digest: digest[:],
			Size:   proto.Uint32(uint32(p.Size())),
		}.Build())
	}
	return out
}

// DecodeParts converts schema messages to parts.
func DecodeParts(in []*schema.Part) []platform.Part {
	parts := make([]platform.Part, 0, len(in))
	for _, p := range in {
		parts = append(parts, platform.NewPart(p.GetName(), platform.DigestFromBytes(p.GetDigest()), int(p.GetSize())))
	}
	return parts
}

// ParsePublicKey parses a hex-encoded Ed25519 public key.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	b, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(b) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key: %w", ErrInvalidKey)
	}
	return b, nil
}

// ParsePrivateKey parses the hex-encoded seed of an Ed25519 private key.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	b, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(b) != ed25519.SeedSize {
		return nil, fmt.Errorf("private key: %w", ErrInvalidKey)
	}
	return ed25519.NewKeyFromSeed(b), nil
}
