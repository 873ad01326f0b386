package caller_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestIdentify guards against requests that run though no customer holds the key that they present. A
// command is what a caller presents: nothing, malformed, or a key.
func TestIdentify(t *testing.T) {
	holders := map[string]string{"key-of-a": "a"}
	datadriven.RunTest(t, "testdata/identify", func(_ *testing.T, d *datadriven.TestData) string {
		var c caller.Credential[string]
		switch d.Cmd {
		case "nothing":
		case "malformed":
			c = caller.MalformedCredential[string]()
		default:
			c = caller.NewCredential(d.Cmd)
		}
		customer, identified, refusal := caller.Identify(c, d.HasArg("required"), func(key string) (string, bool) {
			name, ok := holders[key]
			return name, ok
		})
		return fmt.Sprintf("customer %q, identified %t, refusal %q\n", customer, identified, refusal)
	})
}

func ExampleIdentify() {
	holders := map[string]string{"4f2a": "clinic"}
	lookup := func(key string) (string, bool) {
		name, ok := holders[key]
		return name, ok
	}
	for _, key := range []string{"4f2a", "77c1"} {
		_, identified, refusal := caller.Identify(caller.NewCredential(key), false, lookup)
		fmt.Printf("%t %q\n", identified, refusal)
	}
	// Output:
	// true ""
	// false "key"
}
