package daemon

import (
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

const (
	// pushFanout is the number of children of each daemon in the push tree.
	pushFanout = 4
	// localPeers is the number of gossip peers in the daemon's own data centre.
	localPeers = 3
	// remotePeers is the number of gossip peers in other data centres.
	remotePeers = 2
	// gossipInterval is the mean time between two rounds of gossip. The jitter is 10%.
	gossipInterval = 2 * time.Second
	// startupLocalPeers and startupRemotePeers are how many daemons of the same and of
	// other data centres are asked for the version in force at startup.
	startupLocalPeers  = 4
	startupRemotePeers = 2
	// controlTimeout bounds a gossip exchange or a push, and pullTimeout a pull.
	controlTimeout = time.Second
	pullTimeout    = 3 * time.Second
	// maxRecentChanges is the maximum number of recently changed members in a gossip
	// message.
	maxRecentChanges = 8
	// bucketRounds is the number of gossip rounds between those whose messages have a
	// complete bucket of differing entries. Recent changes spread most updates earlier
	// and in fewer bytes.
	bucketRounds = 8
	// platformSource is the source of versions that were read from the platform. The
	// source of a version from a peer is the name of the peer's slot.
	platformSource = "platform"
)

// replicator exchanges versions and the instance list with other daemons.
type replicator struct {
	*core
	feed *feed
	// round counts the rounds of gossip.
	round atomic.Uint32
	// onPeerVersion is called with the version that a slot's daemon reports.
	onPeerVersion func(now time.Time, name string, version uint64, acknowledged bool)
	// acknowledged reports whether the first phase of all limit transitions is
	// complete, as customer.Lender.Acknowledged does.
	acknowledged func() bool
	// onSlotStopped is called for pending slots that have no running process.
	onSlotStopped func(now time.Time, name string)
	// pendingSlots returns the slots whose version is awaited.
	pendingSlots func() []string
}

// pullAtStartup pulls the version in force from random peers in the background, as the startup
// gate decides.
func (r *replicator) pullAtStartup() {
	rnd := newRand()
	var local, remote []string
	for _, i := range r.members.All() {
		switch {
		case i.Name() == r.self.Name() || i.Removed() || i.PeerAddress() == "":
		case i.Centre() == r.self.Centre():
			local = append(local, i.Name())
		default:
			remote = append(remote, i.Name())
		}
	}
	for _, list := range [][]string{local, remote} {
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	nLocal, nRemote := min(startupLocalPeers, len(local)), min(startupRemotePeers, len(remote))
	names := slices.Concat(local[:nLocal], remote[:nRemote])
	r.feed.startup.AddPeers(names, slices.Concat(local[nLocal:], remote[nRemote:]))
	for _, name := range names {
		if r.feed.everyDaemonReads() {
			r.tasks.start(func() { r.gossipWith(name) })
			continue
		}
		r.tasks.start(func() { r.pullUntilAnswered(name) })
	}
}

// pullUntilAnswered pulls the version of a daemon until the startup gate does not need its answer
// any more, and starts pulling from a further daemon where the gate says so.
func (r *replicator) pullUntilAnswered(name string) {
	for !r.pull(name) {
		delay, needed, next := r.feed.startup.RecordFailure(time.Now(), name)
		if next != "" {
			r.tasks.start(func() { r.pullUntilAnswered(next) })
		}
		if !needed || !r.sleep(delay) {
			return
		}
		if i, ok := r.members.Get(name); !ok || i.Removed() {
			return
		}
	}
	// An earlier process may have known of crashes.
	r.gossipWith(name)
}

// pull requests a daemon's version and applies it if it is newer. It returns whether
// the daemon answered and its answer was processed.
func (r *replicator) pull(name string) bool {
	if r.feed.everyDaemonReads() {
		return false
	}
	v := r.store.Version()
	digest := v.Digest()
	request := schema.Request_builder{Pull: schema.Pull_builder{
		Version: proto.Uint64(v.Number()),
		Digest:  digest[:],
	}.Build()}.Build()
	a, err := r.callPeer(r.baseCtx, name, pullTimeout, request)
	if err != nil || !a.HasUpdate() {
		r.log.Debug("pull", "from", name, "error", err)
		return false
	}
	u := a.GetUpdate()
	if !u.GetEmpty() {
		// The version may have changed meanwhile, so that the base of the update is missing.
		if result, err := r.applyUpdate(time.Now(), u, name); result == platform.MissingParts {
			r.log.Debug("pull", "from", name, "error", err)
			return false
		}
	}
	if next := r.feed.startup.RecordAnswer(time.Now(), name, u.GetStarting()); next != "" {
		r.tasks.start(func() { r.pullUntilAnswered(next) })
	}
	return true
}

// applyUpdate offers an update from a peer to the store.
func (r *replicator) applyUpdate(now time.Time, u *schema.Update, from string) (platform.OfferResult, error) {
	m, err := r.store.Rebuild(u.GetVersion(), platform.DigestFromBytes(u.GetBase()),
		bundle.DecodeParts(u.GetChanges()), u.GetRemoved())
	if err != nil {
		return platform.MissingParts, err
	}
	blobs := make([][]byte, 0, len(u.GetBlobs()))
	for _, b := range u.GetBlobs() {
		blobs = append(blobs, b.GetData())
	}
	result, _, err := r.feed.offer(now, m.WithSignature(u.GetSigner(), u.GetSignature()), blobs, from)
	if result == platform.Rejected {
		r.log.Error("version rejected", "version", u.GetVersion(), "from", from, "error", err)
	}
	return result, err
}

// push sends the version in force to this daemon's children in the tree of the data
// centre, and to the root of the tree if the version was read from the platform. The
// order of the tree depends on the version, which distributes the load.
func (r *replicator) push(source string) {
	if r.feed.everyDaemonReads() {
		return
	}
	v := r.store.Version()
	live := r.members.Live(time.Now(), r.self.Centre())
	order := peer.Rank(v.Digest().String(), live)
	children := peer.Children(order, r.self.Name(), pushFanout)
	if source == platformSource && len(order) > 0 && order[0] != r.self.Name() {
		children = append([]string{order[0]}, children...)
	}
	for _, name := range children {
		if name != r.self.Name() && name != source {
			r.tasks.start(func() { r.pushTo(order, name) })
		}
	}
}

// pushTo sends the version in force to a daemon, or to that daemon's children if it
// cannot be reached.
func (r *replicator) pushTo(order []string, name string) {
	base := r.store.PreviousDigest()
	u, ok := r.store.UpdateFrom(base)
	if !ok {
		return
	}
	request := schema.Request_builder{Offer: schema.Offer_builder{Update: encodeUpdate(u)}.Build()}.Build()
	if _, err := r.callPeer(r.baseCtx, name, controlTimeout, request); err == nil {
		return
	}
	for _, child := range peer.Children(order, name, pushFanout) {
		if child != r.self.Name() {
			r.pushTo(order, child)
		}
	}
}

// gossip exchanges versions and instances with one peer per round.
func (r *replicator) gossip() {
	for {
		jitter := time.Duration(newRand().Int64N(int64(gossipInterval / 5)))
		if !r.sleep(gossipInterval - gossipInterval/10 + jitter) {
			return
		}
		now := time.Now()
		r.round.Add(1)
		r.contactPending(now)
		if name, ok := r.nextPeer(now); ok {
			r.gossipWith(name)
		}
	}
}

// contactPending gossips with the slots whose version is awaited, unless the platform
// has confirmed that they have no process.
func (r *replicator) contactPending(now time.Time) {
	for _, name := range r.pendingSlots() {
		if i, ok := r.members.Get(name); ok && i.Removed() {
			r.onSlotStopped(now, name)
			continue
		}
		if r.members.Reachable(now, name) {
			r.gossipWith(name)
		}
	}
}

// nextPeer returns the next gossip peer, from a few in the data centre and a few in
// others in turn. The choice is stable while they are live, so that connections
// are reused.
func (r *replicator) nextPeer(now time.Time) (string, bool) {
	live := r.members.Live(now, r.self.Centre())
	local := without(peer.Rank(r.self.Name(), live), r.self.Name())
	local = local[:min(localPeers, len(local))]
	var others []string
	for _, name := range r.members.Live(now, "") {
		if i, _ := r.members.Get(name); i.Centre() != r.self.Centre() {
			others = append(others, name)
		}
	}
	remote := peer.Top(r.self.Name(), others, remotePeers)
	names := append(local, remote...)
	if len(names) == 0 {
		return "", false
	}
	return names[int(r.round.Load())%len(names)], true
}

func without(names []string, name string) []string {
	out := make([]string, 0, len(names))
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// gossipWith sends a gossip message to a daemon and merges its answer.
func (r *replicator) gossipWith(name string) {
	request := schema.Request_builder{Gossip: r.gossipMessage(time.Now(), nil)}.Build()
	a, err := r.callPeer(r.baseCtx, name, controlTimeout, request)
	if err != nil || !a.HasGossip() {
		r.log.Trace("gossip", "with", name, "error", err)
		return
	}
	r.mergeGossip(time.Now(), name, a.GetGossip())
	if r.isBehind(a.GetGossip()) {
		r.pull(name)
	}
}

// gossipMessage returns a message with the state of this daemon. It has the recent
// changes and, every bucketRounds rounds, the first bucket of entries that differs
// from the digests of the other side, if given.
func (r *replicator) gossipMessage(now time.Time, digests []byte) *schema.Gossip {
	v := r.store.Version()
	digest := v.Digest()
	instances := r.members.RecentChanges(maxRecentChanges)
	if round := int(r.round.Load()); round%bucketRounds == 0 {
		instances = append(instances, r.members.DifferingEntries(digests, round/bucketRounds)...)
	}
	g := schema.Gossip_builder{
		From:      encodeInstance(r.members.Self()),
		Version:   proto.Uint64(v.Number()),
		Digest:    digest[:],
		Instances: encodeInstances(instances),
		Members:   r.members.Digests(),
		Settled:   proto.Bool(r.feed.ready(now)),
		Clear:     proto.Bool(r.acknowledged()),
	}.Build()
	_, quarantine := r.quarantine.Shared(now)
	g.SetQuarantine(quarantine)
	if age, ok := r.feed.confirmedAge(now); ok {
		g.SetConfirmed(durationpb.New(age))
	}
	return g
}

// mergeGossip merges a gossip message from a daemon.
func (r *replicator) mergeGossip(now time.Time, name string, g *schema.Gossip) {
	if from := decodeInstance(g.GetFrom()); from.Name() == name {
		r.members.Merge([]peer.Instance{from})
	}
	r.members.Merge(decodeInstances(g.GetInstances()))
	r.onPeerVersion(now, name, g.GetVersion(), g.GetClear())
	r.mergeCrashes(now, name, g.GetCrashed())
	sameVersion := platform.DigestFromBytes(g.GetDigest()) == r.store.Version().Digest()
	if g.HasConfirmed() && sameVersion {
		r.feed.confirm(now.Add(-g.GetConfirmed().AsDuration()))
	}
}

// mergeCrashes merges the crashes that another daemon exchanges.
func (r *replicator) mergeCrashes(now time.Time, from string, list []*schema.Death) {
	for _, c := range r.quarantine.Merge(now, decodeCrashes(now, list)) {
		r.log.Info("crash report received", "from", from, "customer", c.Key().Customer(), "fingerprint", c.Key().Fingerprint(),
			"age", now.Sub(c.At()).String(), "answered", c.Answered(), "counted", true)
	}
}

// isBehind reports whether the sender of a message holds a newer version.
func (r *replicator) isBehind(g *schema.Gossip) bool {
	peerVersion := platform.NewVersion(g.GetVersion(), platform.DigestFromBytes(g.GetDigest()))
	return r.store.Version().Compare(peerVersion) < 0
}
