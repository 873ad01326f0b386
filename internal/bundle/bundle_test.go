package bundle_test

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// TestBundle runs scripts of operator commands. "keep" parses a bundle and stores
// it under a name; "diff" and "sign" take the names of stored bundles.
func TestBundle(t *testing.T) {
	bundles := make(map[string]*schema.Bundle)
	datadriven.RunTest(t, "testdata/bundle", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "keep":
			b, err := bundle.Parse("bundle.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			bundles[d.CmdArgs[0].Key] = b
			return "valid\n"
		case "diff":
			return strings.Join(bundle.Diff(bundles[d.CmdArgs[0].Key], bundles[d.CmdArgs[1].Key]), "\n") + "\n"
		case "sign":
			return signAndApply(t, bundles[d.CmdArgs[0].Key], bundles[d.CmdArgs[1].Key])
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	})
}

// signAndApply signs two bundles, offers them to a store in their encoded form, and
// reports how many parts of each had to be transferred and which configuration is
// in force in the end.
func signAndApply(t *testing.T, first, second *schema.Bundle) string {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	store := platform.NewStore[*platform.Config](bundle.Codec{}, []ed25519.PublicKey{key.Public().(ed25519.PublicKey)})
	var out strings.Builder
	for _, b := range []*schema.Bundle{first, second} {
		r, err := bundle.Sign(b, key)
		if err != nil {
			t.Fatal(err)
		}
		value, err := bundle.EncodeManifest(r.Manifest())
		if err != nil {
			t.Fatal(err)
		}
		m, err := bundle.DecodeManifest(value)
		if err != nil {
			t.Fatal(err)
		}
		_, missing, _ := store.Offer(m, nil)
		verdict, _, err := store.Offer(m, r.Blobs())
		fmt.Fprintf(&out, "version %d: %d of %d parts were new, %s, %v\n",
			b.GetVersion(), len(missing), len(m.Parts()), verdict, err)
	}
	cfg := store.Current().Content()
	fmt.Fprintf(&out, "in force: %d, %d backend servers, %d routes, %d customers\n",
		cfg.Number(), len(cfg.Backends()), len(cfg.Routes()), len(cfg.Customers()))
	return out.String()
}
