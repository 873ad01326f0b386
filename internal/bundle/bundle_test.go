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

// TestBundle runs scripts of the operators' desk. "keep" keeps a bundle under a
// name; the others work on the input or on kept ones.
func TestBundle(t *testing.T) {
	kept := make(map[string]*schema.Bundle)
	datadriven.RunTest(t, "testdata/bundle", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "keep":
			b, err := bundle.Parse("bundle.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			kept[d.CmdArgs[0].Key] = b
			return "valid\n"
		case "diff":
			return strings.Join(bundle.Diff(kept[d.CmdArgs[0].Key], kept[d.CmdArgs[1].Key]), "\n") + "\n"
		case "sign":
			return signed(t, kept[d.CmdArgs[0].Key], kept[d.CmdArgs[1].Key])
		}
		t.Fatalf("there is no command %q", d.Cmd)
		return ""
	})
}

// signed signs two bundles, carries them over as the platform would, and tells
// what is in force and how much of the second is new.
func signed(t *testing.T, first, second *schema.Bundle) string {
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
