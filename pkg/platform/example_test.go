package platform_test

import (
	"crypto/ed25519"
	"fmt"

	"github.com/lycheehead/lycheehead/pkg/platform"
)

func ExampleStore() {
	signer := newKey("operator")
	s := platform.NewStore[string](textCodec{}, []ed25519.PublicKey{signer.Public().(ed25519.PublicKey)})
	content := []byte("routes")
	part := platform.NewPart("p000", platform.DigestOf(content), len(content))
	m := platform.NewManifest(1, []platform.Part{part}).Sign(signer)

	result, missing, _ := s.Offer(m, nil)
	fmt.Println(result, len(missing))
	result, _, _ = s.Offer(m, [][]byte{content})
	fmt.Println(result, s.Current().Content())
	// Output:
	// missing 1
	// applied routes
}

func ExampleBuilder_Build() {
	b := platform.NewBuilder(1)
	b.AddCentre(platform.NewCentre("muc", "south", false, false))
	b.AddRoute(platform.NewRoute("/documents", "documents", false, false, platform.ByMethod, 0))
	_, err := b.Build()
	fmt.Println(err)
	// Output: routes[0].service: no backend server belongs to service "documents"
}
