package daemon

import (
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
	// pushFanout is how many daemons each one passes a version on to.
	pushFanout = 4
	// localPeers is how many daemons of its data centre one compares with.
	localPeers = 3
	// remotePeers is how many of other data centres.
	remotePeers = 2
	// gossipInterval is the time between two comparisons, give or take a fifth.
	gossipInterval = 2 * time.Second
	// startupLocalPeers and startStrangers are how many daemons, of the data centre
	// and of others, one asks at its start.
	startupLocalPeers  = 4
	startupRemotePeers = 2
	gossipTimeout      = time.Second
	pullTimeout        = 3 * time.Second
	// maxRecentChanges is how many entries one comparison passes on.
	maxRecentChanges = 8
	// bucketRounds is how many rounds apart a daemon answers with a whole bucket
	// of entries that differ: rumours bring most changes before, for less.
	bucketRounds   = 8
	platformSource = "platform"
)

// replicator passes versions and instances between daemons.
type replicator struct {
	*core
	feed *feed
	// round counts the rounds of gossip.
	round atomic.Uint32
	// onPeerVersion is called with the version that a slot's daemon told of itself.
	onPeerVersion func(now time.Time, name string, number uint64, cleared bool)
	// acknowledged says whether this daemon has heard all whom it knows.
	acknowledged func() bool
	// onSlotStopped is called for awaited slots that have no process any more.
	onSlotStopped func(now time.Time, name string)
	// pendingSlots returns the slots whose version is waited for.
	pendingSlots func() []string
}

// pullAtStartup asks some peers for the version in force and returns their
// names. The answers are taken in as they come.
func (s *replicator) pullAtStartup() []string {
	now := time.Now()
	rnd := newRand()
	var own, others []string
	for _, i := range s.members.All() {
		switch {
		case i.Name() == s.self.Name() || i.Removed() || !s.members.Reachable(now, i.Name()):
		case i.Centre() == s.self.Centre():
			own = append(own, i.Name())
		default:
			others = append(others, i.Name())
		}
	}
	for _, list := range [][]string{own, others} {
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	names := append(own[:min(startupLocalPeers, len(own))], others[:min(startupRemotePeers, len(others))]...)
	for _, name := range names {
		s.tasks.start(func() {
			if s.pull(name) {
				s.feed.startup.MarkSynced(name)
			}
		})
	}
	return names
}

// pull asks a daemon for its version and takes it in where it is newer. It
// returns whether the daemon answered.
func (s *replicator) pull(name string) bool {
	if s.feed.everyDaemonReads() {
		return false
	}
	v := s.store.Version()
	digest := v.Digest()
	request := schema.Request_builder{Pull: schema.Pull_builder{
		Version: proto.Uint64(v.Number()),
		Digest:  digest[:],
	}.Build()}.Build()
	a, err := s.callPeer(s.baseCtx, name, pullTimeout, request)
	if err != nil || !a.HasUpdate() {
		s.log.Debug("pull", "from", name, "error", err)
		return false
	}
	if !a.GetUpdate().GetEmpty() {
		s.applyUpdate(time.Now(), a.GetUpdate(), name)
	}
	return true
}

// applyUpdate judges an update of a peer.
func (s *replicator) applyUpdate(now time.Time, u *schema.Update, from string) (platform.OfferResult, error) {
	m, err := s.store.Rebuild(u.GetVersion(), platform.DigestFromBytes(u.GetBase()),
		bundle.DecodeParts(u.GetChanges()), u.GetRemoved())
	if err != nil {
		return platform.MissingParts, err
	}
	blobs := make([][]byte, 0, len(u.GetBlobs()))
	for _, b := range u.GetBlobs() {
		blobs = append(blobs, b.GetData())
	}
	verdict, _, err := s.feed.offer(now, m.WithSignature(u.GetSigner(), u.GetSignature()), blobs, from)
	if verdict == platform.Rejected {
		s.log.Error("version rejected", "version", u.GetVersion(), "from", from, "error", err)
	}
	return verdict, err
}

// push passes the version in force on along the tree of the data centre. The
// tree's order turns with the version, so that the work of passing on does too.
func (s *replicator) push(source string) {
	if s.feed.everyDaemonReads() {
		return
	}
	v := s.store.Version()
	live := s.members.Live(time.Now(), s.self.Centre())
	order := peer.Rank(v.Digest().String(), live)
	next := peer.Children(order, s.self.Name(), pushFanout)
	if source == platformSource && len(order) > 0 && order[0] != s.self.Name() {
		next = append([]string{order[0]}, next...)
	}
	for _, name := range next {
		if name != s.self.Name() && name != source {
			s.tasks.start(func() { s.pushTo(order, name) })
		}
	}
}

// pushTo sends the version in force to a daemon; where that cannot be reached,
// to those it would have passed the version on to.
func (s *replicator) pushTo(order []string, name string) {
	base := s.store.PreviousDigest()
	u, ok := s.store.UpdateFrom(base)
	if !ok {
		return
	}
	request := schema.Request_builder{Offer: schema.Offer_builder{Update: encodeUpdate(u)}.Build()}.Build()
	if _, err := s.callPeer(s.baseCtx, name, gossipTimeout, request); err == nil {
		return
	}
	for _, child := range peer.Children(order, name, pushFanout) {
		if child != s.self.Name() {
			s.pushTo(order, child)
		}
	}
}

// gossip compares versions and instances with the neighbours, one at a time.
func (s *replicator) gossip() {
	for {
		jitter := time.Duration(newRand().Int64N(int64(gossipInterval / 5)))
		if !s.sleep(gossipInterval - gossipInterval/10 + jitter) {
			return
		}
		now := time.Now()
		s.round.Add(1)
		s.contactPending(now)
		if name, ok := s.nextPeer(now); ok {
			s.gossipWith(name)
		}
	}
}

// contactPending asks the slots whose word is awaited, unless the platform vouches that
// they have no process.
func (s *replicator) contactPending(now time.Time) {
	for _, name := range s.pendingSlots() {
		if i, ok := s.members.Get(name); ok && i.Removed() {
			s.onSlotStopped(now, name)
			continue
		}
		if s.members.Reachable(now, name) {
			s.gossipWith(name)
		}
	}
}

// nextPeer returns whom to compare with next: a few of the data centre and a
// few beyond in turn. They stay the same while they live, so that connections
// are kept.
func (s *replicator) nextPeer(now time.Time) (string, bool) {
	own := s.members.Live(now, s.self.Centre())
	near := without(peer.Rank(s.self.Name(), own), s.self.Name())
	near = near[:min(localPeers, len(near))]
	var beyond []string
	for _, name := range s.members.Live(now, "") {
		if i, _ := s.members.Get(name); i.Centre() != s.self.Centre() {
			beyond = append(beyond, name)
		}
	}
	far := peer.Top(s.self.Name(), beyond, remotePeers)
	names := append(near, far...)
	if len(names) == 0 {
		return "", false
	}
	return names[int(s.round.Load())%len(names)], true
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

// gossipWith tells a daemon what this one holds and takes in its answer.
func (s *replicator) gossipWith(name string) {
	request := schema.Request_builder{Gossip: s.gossipMessage(time.Now(), nil)}.Build()
	a, err := s.callPeer(s.baseCtx, name, gossipTimeout, request)
	if err != nil || !a.HasGossip() {
		s.log.Trace("gossip", "with", name, "error", err)
		return
	}
	s.mergeGossip(time.Now(), name, a.GetGossip())
	if s.isBehind(a.GetGossip()) {
		s.pull(name)
	}
}

// gossipMessage tells what this daemon holds. Entries come from the first bucket that
// differs from the other side's digests, if given, and from the rumours.
func (s *replicator) gossipMessage(now time.Time, digests []byte) *schema.Gossip {
	v := s.store.Version()
	digest := v.Digest()
	instances := s.members.RecentChanges(maxRecentChanges)
	if turn := int(s.round.Load()); turn%bucketRounds == 0 {
		instances = append(instances, s.members.DifferingEntries(digests, turn/bucketRounds)...)
	}
	g := schema.Gossip_builder{
		From:      encodeInstance(s.members.Self()),
		Version:   proto.Uint64(v.Number()),
		Digest:    digest[:],
		Instances: encodeInstances(instances),
		Members:   s.members.Digests(),
		Settled:   proto.Bool(s.feed.ready(now)),
		Clear:     proto.Bool(s.acknowledged()),
	}.Build()
	if age, ok := s.feed.confirmedAge(now); ok {
		g.SetConfirmed(durationpb.New(age))
	}
	return g
}

// mergeGossip takes in what a daemon tells.
func (s *replicator) mergeGossip(now time.Time, name string, g *schema.Gossip) {
	if from := decodeInstance(g.GetFrom()); from.Name() == name {
		s.members.Merge([]peer.Instance{from})
	}
	s.members.Merge(decodeInstances(g.GetInstances()))
	s.onPeerVersion(now, name, g.GetVersion(), g.GetClear())
	same := platform.DigestFromBytes(g.GetDigest()) == s.store.Version().Digest()
	if g.HasConfirmed() && same {
		s.feed.confirm(now.Add(-g.GetConfirmed().AsDuration()))
	}
}

// isBehind says whether the other side holds a newer version.
func (s *replicator) isBehind(g *schema.Gossip) bool {
	theirs := platform.NewVersion(g.GetVersion(), platform.DigestFromBytes(g.GetDigest()))
	return s.store.Version().Compare(theirs) < 0
}
