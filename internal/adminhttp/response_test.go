package adminhttp_test

import (
	"testing"

	"github.com/lycheehead/lycheehead/internal/adminhttp"
	"github.com/lycheehead/lycheehead/internal/wirecheck/wiretest"
)

// TestMalformedResponse guards against a status that is read from a message which is not a valid
// response (MIXED).
func TestMalformedResponse(t *testing.T) {
	wiretest.RunMalformed(t, `{}`, func(t *testing.T, address string) error {
		_, err := adminhttp.FetchStatus(t.Context(), address)
		return err
	})
}
