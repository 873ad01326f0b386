package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mrand "math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/stop"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

// store holds the version in force.
type store = platform.Store[*platform.Config, bundle.Codec]

// core is the state that all components of a daemon share.
type core struct {
	self     peer.Instance
	settings *schema.Settings
	log      hclog.Logger
	metrics  *metrics
	pool     *workers.Pool
	store    *store
	members  *peer.Members
	mesh     *peerquic.Mesh
	baseCtx  context.Context
	stopping atomic.Bool
	// quarantine refuses requests during which backend servers have crashed repeatedly.
	quarantine *backend.Quarantine
	// bodies refuses requests whose body is still arriving as a planned stop ends.
	bodies *stop.Bodies
	tasks  tasks
}

// config returns the configuration in force, or nil before the first version.
func (c *core) config() *platform.Config {
	snapshot := c.store.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Content()
}

// available returns a predicate that reports whether new work may be sent to a
// slot's daemon at now.
func (c *core) available(now time.Time) func(name string) bool {
	return func(name string) bool {
		i, ok := c.members.Get(name)
		return ok && !i.Leaving() && c.members.Reachable(now, name)
	}
}

// callPeer sends a control message to the daemon of a slot and records whether it
// was reachable.
func (c *core) callPeer(ctx context.Context, name string, timeout time.Duration, r *schema.Request) (*schema.Answer, error) {
	i, ok := c.members.Get(name)
	if !ok || i.PeerAddress() == "" {
		return nil, peerquic.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.mesh.RoundTrip(ctx, name, i.PeerAddress(), r)
	if err != nil {
		c.members.RecordFailure(time.Now(), name)
		return nil, err
	}
	c.members.RecordSuccess(name)
	return a, nil
}

// newRand returns a random number generator that is not shared between goroutines.
func newRand() *mrand.Rand {
	return mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64())) //nolint:gosec // not for secrets
}

// newToken returns an unguessable identifier.
func newToken() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
