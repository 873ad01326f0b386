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
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

// store keeps the version in force.
type store = platform.Store[*platform.Config, bundle.Codec]

// core is what all parts of a daemon share.
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
	tasks    tasks
}

// config returns the content in force, or nil before the first version.
func (c *core) config() *platform.Config {
	snapshot := c.store.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Content()
}

// available says whether a slot's daemon may be sent new work now.
func (c *core) available(now time.Time) func(name string) bool {
	return func(name string) bool {
		i, ok := c.members.Get(name)
		return ok && !i.Leaving() && c.members.Reachable(now, name)
	}
}

// callPeer sends a control message to a slot and notes whether it was reached.
func (c *core) callPeer(ctx context.Context, name string, timeout time.Duration, r *schema.Request) (*schema.Answer, error) {
	i, ok := c.members.Get(name)
	if !ok || i.PeerAddress() == "" {
		return nil, peerquic.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.mesh.Ask(ctx, name, i.PeerAddress(), r)
	if err != nil {
		c.members.RecordFailure(time.Now(), name)
		return nil, err
	}
	c.members.RecordSuccess(name)
	return a, nil
}

// newRand returns a source of newRand numbers for one event.
func newRand() *mrand.Rand {
	return mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64())) //nolint:gosec // not for secrets
}

// newToken returns a name that nobody can guess.
func newToken() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
