package platformhttp_test

import (
	"testing"

	"github.com/lycheehead/lycheehead/internal/platformhttp"
	"github.com/lycheehead/lycheehead/internal/wirecheck/wiretest"
)

// TestMalformedResponse guards against a value that is read from a message which is not a valid
// response (MIXED).
func TestMalformedResponse(t *testing.T) {
	wiretest.RunMalformed(t, `value`, func(t *testing.T, address string) error {
		_, err := platformhttp.New([]string{address}).Read(t.Context(), "k")
		return err
	})
}
