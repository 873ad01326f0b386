package mesh_test

import (
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/internal/peerquic/relaytest"
)

// newRelay returns the address of a relay to a server, which drops the packets of the client for
// some time after the first one.
func newRelay(t *testing.T, server string, silence time.Duration) string {
	var end time.Time
	return relaytest.New(t, server, func(send func()) {
		if end.IsZero() {
			end = time.Now().Add(silence)
		}
		if !time.Now().Before(end) {
			send()
		}
	}, func(send func()) { send() })
}
