package platform_test

import (
	"crypto/ed25519"
	"fmt"

	"github.com/lycheehead/lycheehead/pkg/platform"
)

func ExampleStore() {
	signer := key("operator")
	s := platform.NewStore[string](words{}, []ed25519.PublicKey{signer.Public().(ed25519.PublicKey)})
	content := []byte("routes")
	part := platform.NewPart("p000", platform.DigestOf(content), len(content))
	m := platform.NewManifest(1, []platform.Part{part}).Sign(signer)

	verdict, missing, _ := s.Offer(m, nil)
	fmt.Println(verdict, len(missing))
	verdict, _, _ = s.Offer(m, [][]byte{content})
	fmt.Println(verdict, s.Current().Content())
	// Output:
	// missing 1
	// applied routes
}

func ExampleBuilder_Build() {
	d := platform.NewBuilder(1)
	d.AddCentre(platform.NewCentre("muc", "bayern", false, false))
	d.AddRoute(platform.NewRoute("/doku", "doku", false, false, platform.ByMethod, 0))
	_, err := d.Build()
	fmt.Println(err)
	// Output: routes[0].service: no backend server belongs to service "doku"
}
