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
	quit     context.Context
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

// usable says whether a slot's daemon may be sent new work now.
func (c *core) usable(now time.Time) func(name string) bool {
	return func(name string) bool {
		i, ok := c.members.Get(name)
		return ok && !i.Leaving() && c.members.Reachable(now, name)
	}
}

// ask sends a control message to a slot and notes whether it was reached.
func (c *core) ask(ctx context.Context, name string, timeout time.Duration, r *schema.Request) (*schema.Answer, error) {
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

// random returns a source of random numbers for one event.
func random() *mrand.Rand {
	return mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64())) //nolint:gosec // not for secrets
}

// token returns a name that nobody can guess.
func token() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
