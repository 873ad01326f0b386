package daemon

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/platformhttp"
	"github.com/lycheehead/lycheehead/internal/settings"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// readersPerCentre is how many daemons of a data centre read the platform.
	readersPerCentre = 2
	// watchFor is how long one watch waits: its end confirms the version in
	// force.
	watchFor = 5 * time.Second
	// readerCheck is how often a daemon looks whether it is to read.
	readerCheck = time.Second
	// retryFirst and retryLast bound the wait after a failed read.
	retryFirst = 200 * time.Millisecond
	retryLast  = 3 * time.Second
	// centresGuess is the number of data centres assumed for the allowance
	// before a version tells it.
	centresGuess = 19
)

// feed learns versions and instances.
type feed struct {
	*core
	client    *platformhttp.Client
	allowance *platform.CallLimiter
	settle    *platform.StartupGate
	spread    *spread
	// applied is called with each version put in force.
	applied func(now time.Time, cfg *platform.Config)
	// confirmed is when the platform last confirmed the version in force, in
	// nanoseconds since the epoch, or 0.
	confirmed atomic.Int64
	reader    atomic.Bool
}

func newFeed(c *core, now time.Time) *feed {
	p := c.settings.GetPlatform()
	fleet := int(p.GetFleet())
	readers := min(readersPerCentre*centresGuess, fleet)
	return &feed{
		core:      c,
		client:    platformhttp.New(p.GetAddresses()),
		allowance: platform.NewCallLimiter(settings.PlatformCallRate(c.settings), fleet, readers),
		settle:    platform.NewStartupGate(now, settings.SettleTimeout(c.settings)),
	}
}

// everyoneReads says whether each daemon reads the platform for itself, as in
// the naive version that the product is measured against.
func (f *feed) everyoneReads() bool {
	return f.settings.GetPolicies().GetFeed() == settings.FeedPlatform
}

// start runs the feed's loops until the daemon quits.
func (f *feed) start() {
	f.tasks.start(func() {
		f.begin()
		f.tasks.start(f.watchInstances)
		f.tasks.start(f.spread.gossip)
		f.watchHead()
	})
}

// begin learns of the peers, from the platform or else from the seeds, and asks
// some of them for the version in force.
func (f *feed) begin() {
	if !f.pause(f.allowance.StartupDelay(random())) {
		return
	}
	list, err := f.client.Instances(f.quit, 0, 0)
	if err == nil {
		f.members.ApplyList(list.GetRevision(), decodeInstances(list.GetInstances()))
	} else {
		f.log.Warn("instance list is not to be had", "error", err)
		f.seed()
	}
	f.settle.AddPeers(f.spread.pullAtStart())
}

// seed takes the seeds of the settings for peers.
func (f *feed) seed() {
	var list []peer.Instance
	for _, s := range f.settings.GetPlatform().GetSeeds() {
		list = append(list, peer.NewInstance(s.GetName(), "", "", s.GetPeer(), ""))
	}
	f.members.Merge(list)
}

// ready says whether the daemon may serve.
func (f *feed) ready(now time.Time) bool {
	return f.settle.Ready(now, f.store.Current() != nil)
}

// age returns how long ago the platform confirmed the version in force, as far
// as this daemon has heard; false if never.
func (f *feed) age(now time.Time) (time.Duration, bool) {
	at := f.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// confirm notes that the platform confirmed the version in force at an instant.
func (f *feed) confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if at.UnixNano() <= old || f.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// chosen says whether this daemon reads the platform for its data centre.
func (f *feed) chosen(now time.Time) bool {
	centre := f.self.Centre()
	readers := peer.Top(centre, f.members.Live(now, centre), readersPerCentre)
	chosen := f.everyoneReads() || slices.Contains(readers, f.self.Name())
	if f.reader.Swap(chosen) != chosen {
		f.log.Info("reader", "chosen", chosen, "readers", readers)
	}
	return chosen
}

// watchHead watches the newest manifest while this daemon is a reader.
func (f *feed) watchHead() {
	revision := uint64(0)
	f.watch(func(ctx context.Context) error {
		wait := watchFor
		if revision == 0 {
			wait = 0
		}
		v, err := f.client.Watch(ctx, platformhttp.HeadKey, revision, wait)
		now := time.Now()
		if errors.Is(err, platformhttp.ErrUnchanged) {
			f.confirm(now)
			return nil
		}
		if err != nil {
			return err
		}
		if f.take(ctx, now, v) {
			revision = v.Revision()
		}
		return nil
	})
}

// watchInstances watches the instance list while this daemon is a reader.
func (f *feed) watchInstances() {
	revision := uint64(0)
	f.watch(func(ctx context.Context) error {
		list, err := f.client.Instances(ctx, revision, watchFor)
		if errors.Is(err, platformhttp.ErrUnchanged) {
			return nil
		}
		if err != nil {
			return err
		}
		revision = list.GetRevision()
		f.members.ApplyList(revision, decodeInstances(list.GetInstances()))
		return nil
	})
}

// watch calls read while this daemon is a reader, within the allowance, and
// waits longer after each failure in a row.
func (f *feed) watch(read func(ctx context.Context) error) {
	wait := retryFirst
	for f.quit.Err() == nil {
		if !f.chosen(time.Now()) {
			f.pause(readerCheck)
			continue
		}
		if !f.pause(f.allowance.ReserveReader(time.Now())) {
			return
		}
		err := read(f.quit)
		if err == nil {
			wait = retryFirst
			continue
		}
		f.metrics.count("platform_failures")
		f.log.Debug("platform", "error", err)
		f.pause(wait/2 + time.Duration(random().Int64N(int64(wait))))
		wait = min(2*wait, retryLast)
	}
}

// take judges a manifest that the platform gave and reads the parts that are
// missing. It returns whether the manifest needs no further read.
func (f *feed) take(ctx context.Context, now time.Time, v platformhttp.Value) bool {
	m, err := bundle.DecodeManifest(v.Data())
	if err != nil {
		f.log.Error("manifest", "error", err)
		return true
	}
	var blobs [][]byte
	for {
		verdict, missing, err := f.offer(now, m, blobs, "platform")
		if verdict != platform.MissingParts {
			f.tell(now, m, verdict, err)
			return true
		}
		more, ok := f.parts(ctx, missing)
		if !ok {
			return false
		}
		blobs = append(blobs, more...)
	}
}

// tell confirms the version in force, unless the platform gave an older one.
func (f *feed) tell(now time.Time, m *platform.Manifest, verdict platform.OfferResult, err error) {
	switch verdict {
	case platform.Applied, platform.Current:
		f.confirm(now)
	case platform.Older:
		f.log.Warn("platform is stale", "version", m.Version().Number(), "in_force", f.store.Version().Number())
	case platform.Rejected:
		f.log.Error("version rejected", "version", m.Version().Number(), "error", err)
	}
}

// parts reads parts from the platform. It gives up at the first that is not to
// be had: parts are published before the manifest that names them, so the
// manifest is read anew.
func (f *feed) parts(ctx context.Context, missing []platform.Part) ([][]byte, bool) {
	var blobs [][]byte
	for _, p := range missing {
		if !f.pause(f.allowance.ReserveReader(time.Now())) {
			return nil, false
		}
		v, err := f.client.Read(ctx, platformhttp.PartPrefix+p.Digest().String())
		if err != nil || platform.DigestOf(v.Data()) != p.Digest() {
			f.log.Warn("part", "name", p.Name(), "error", err)
			f.pause(retryFirst)
			return nil, false
		}
		blobs = append(blobs, v.Data())
	}
	return blobs, true
}

// judged is the store's answer to an offer.
type judged struct {
	verdict platform.OfferResult
	missing []platform.Part
	err     error
}

// offer hands a manifest to the store and passes on what was put in force.
func (f *feed) offer(now time.Time, m *platform.Manifest, blobs [][]byte, source string) (platform.OfferResult, []platform.Part, error) {
	j, err := workers.Do(f.quit, f.pool, func() judged {
		var j judged
		j.verdict, j.missing, j.err = f.store.Offer(m, blobs)
		if j.verdict == platform.Applied {
			f.applied(now, f.store.Current().Content())
		}
		return j
	})
	if err != nil {
		return platform.Older, nil, err
	}
	if j.verdict == platform.Applied {
		f.metrics.count("versions_applied")
		f.log.Info("version", "verdict", j.verdict.String(), "version", m.Version().Number(),
			"digest", m.Version().Digest().String(), "source", source)
		f.tasks.start(func() { f.spread.push(source) })
	}
	return j.verdict, j.missing, j.err
}

// pause waits and returns whether the daemon goes on.
func (c *core) pause(d time.Duration) bool {
	if d <= 0 {
		return c.quit.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.quit.Done():
		return false
	}
}
