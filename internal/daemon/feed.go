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
	// watchTimeout is the duration of one watch. A watch that ends without a change
	// confirms the version in force.
	watchTimeout = 5 * time.Second
	// readerCheckInterval is how often a daemon checks whether it is a reader.
	readerCheckInterval = time.Second
	// minBackoff and maxBackoff bound the wait after a failed read.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
	// assumedCentres is the number of data centres from which the number of readers is
	// computed to share out the platform call limit, as no version is known yet.
	assumedCentres = 19
)

// feed receives versions and the instance list.
type feed struct {
	*core
	client *platformhttp.Client
	// limiter keeps this daemon's calls to the platform within its share of the fleet's
	// limit.
	limiter *platform.CallLimiter
	// startup delays serving until peers have sent their versions or a bound has passed.
	startup    *platform.StartupGate
	replicator *replicator
	// onApplied is called for each version put in force.
	onApplied func(now time.Time, cfg *platform.Config)
	// confirmedNanos is when the platform last confirmed the version in force, in
	// nanoseconds since the epoch, or 0.
	confirmedNanos atomic.Int64
	// reader holds the last result of checkReader.
	reader atomic.Bool
}

func newFeed(c *core, now time.Time) *feed {
	p := c.settings.GetPlatform()
	fleet := int(p.GetFleet())
	readers := min(readersPerCentre*assumedCentres, fleet)
	return &feed{
		core:    c,
		client:  platformhttp.New(p.GetAddresses()),
		limiter: platform.NewCallLimiter(settings.PlatformCallRate(c.settings), fleet, readers),
		startup: platform.NewStartupGate(now, settings.SettleTimeout(c.settings)),
	}
}

// everyDaemonReads reports whether every daemon reads the platform itself, instead of a
// few readers per data centre. This mode is the baseline of the measurements.
func (f *feed) everyDaemonReads() bool {
	return f.settings.GetPolicies().GetFeed() == settings.FeedPlatform
}

// start runs the loops of the feed until baseCtx ends.
func (f *feed) start() {
	f.tasks.start(func() {
		f.bootstrap()
		f.tasks.start(f.watchInstances)
		f.tasks.start(f.replicator.gossip)
		f.watchHead()
	})
}

// bootstrap learns the peers from the platform, or from the seeds if it cannot be
// read, and pulls the version in force from some of them.
func (f *feed) bootstrap() {
	if !f.sleep(f.limiter.StartupDelay(newRand())) {
		return
	}
	list, err := f.client.Instances(f.baseCtx, 0, 0)
	if err == nil {
		f.members.ApplyList(list.GetRevision(), decodeInstances(list.GetInstances()))
	} else {
		f.log.Warn("cannot read instance list, using seeds", "error", err)
		f.addSeeds()
	}
	f.replicator.pullAtStartup()
}

// addSeeds adds the seeds in the settings to the members.
func (f *feed) addSeeds() {
	var list []peer.Instance
	for _, s := range f.settings.GetPlatform().GetSeeds() {
		list = append(list, peer.NewInstance(s.GetName(), "", "", s.GetPeer(), ""))
	}
	f.members.Merge(list)
}

// ready reports whether the daemon may serve.
func (f *feed) ready(now time.Time) bool {
	return f.startup.Ready(now, f.store.Current() != nil)
}

// confirmedAge returns the time since the platform last confirmed the version in
// force, to this daemon's knowledge; false if it never has.
func (f *feed) confirmedAge(now time.Time) (time.Duration, bool) {
	at := f.confirmedNanos.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// confirm records that the platform confirmed the version in force at a time.
func (f *feed) confirm(at time.Time) {
	for {
		old := f.confirmedNanos.Load()
		if at.UnixNano() <= old || f.confirmedNanos.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// checkReader returns whether this daemon reads the platform for its data centre,
// and logs changes.
func (f *feed) checkReader(now time.Time) bool {
	centre := f.self.Centre()
	readers := peer.Top(centre, f.members.Live(now, centre), readersPerCentre)
	isReader := f.everyDaemonReads() || slices.Contains(readers, f.self.Name())
	if f.reader.Swap(isReader) != isReader {
		f.log.Info("reader", "chosen", isReader, "readers", readers)
	}
	return isReader
}

// watchHead watches the newest manifest while this daemon is a reader.
func (f *feed) watchHead() {
	revision := uint64(0)
	f.watch(func(ctx context.Context) error {
		wait := watchTimeout
		if revision == 0 {
			wait = 0
		}
		v, err := f.client.Watch(ctx, platformhttp.ManifestKey, revision, wait)
		now := time.Now()
		if errors.Is(err, platformhttp.ErrNotModified) {
			f.confirm(now)
			return nil
		}
		if err != nil {
			return err
		}
		if f.applyManifest(ctx, now, v) {
			revision = v.Revision()
		}
		return nil
	})
}

// watchInstances watches the instance list while this daemon is a reader.
func (f *feed) watchInstances() {
	revision := uint64(0)
	f.watch(func(ctx context.Context) error {
		list, err := f.client.Instances(ctx, revision, watchTimeout)
		if errors.Is(err, platformhttp.ErrNotModified) {
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

// watch calls read repeatedly while this daemon is a reader, within the platform
// call limit and with exponential backoff after failures.
func (f *feed) watch(read func(ctx context.Context) error) {
	backoff := minBackoff
	for f.baseCtx.Err() == nil {
		if !f.checkReader(time.Now()) {
			f.sleep(readerCheckInterval)
			continue
		}
		if !f.sleep(f.limiter.ReserveReader(time.Now())) {
			return
		}
		err := read(f.baseCtx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		f.metrics.increment("platform_failures")
		f.log.Debug("platform", "error", err)
		f.sleep(backoff/2 + time.Duration(newRand().Int64N(int64(backoff))))
		backoff = min(2*backoff, maxBackoff)
	}
}

// applyManifest offers a manifest from the platform to the store and fetches the
// missing parts. It returns whether the revision of the manifest has been handled;
// if not, the manifest must be read again.
func (f *feed) applyManifest(ctx context.Context, now time.Time, v platformhttp.Value) bool {
	m, err := bundle.DecodeManifest(v.Data())
	if err != nil {
		f.log.Error("manifest", "error", err)
		return true
	}
	var blobs [][]byte
	for {
		result, missing, err := f.offer(now, m, blobs, "platform")
		if result != platform.MissingParts {
			f.recordOfferResult(now, m, result, err)
			return true
		}
		more, ok := f.fetchParts(ctx, missing)
		if !ok {
			return false
		}
		blobs = append(blobs, more...)
	}
}

// recordOfferResult confirms the version in force if the platform has the same one, and
// logs manifests that are older or rejected.
func (f *feed) recordOfferResult(now time.Time, m *platform.Manifest, result platform.OfferResult, err error) {
	switch result {
	case platform.Applied, platform.Current:
		f.confirm(now)
	case platform.Older:
		f.log.Warn("platform is stale", "version", m.Version().Number(), "in_force", f.store.Version().Number())
	case platform.Rejected:
		f.log.Error("version rejected", "version", m.Version().Number(), "error", err)
	}
}

// fetchParts reads parts from the platform and stops at the first failure. Parts are
// published before the manifest that names them, so the caller reads the manifest
// again.
func (f *feed) fetchParts(ctx context.Context, missing []platform.Part) ([][]byte, bool) {
	var blobs [][]byte
	for _, p := range missing {
		if !f.sleep(f.limiter.ReserveReader(time.Now())) {
			return nil, false
		}
		v, err := f.client.Read(ctx, platformhttp.PartPrefix+p.Digest().String())
		if err != nil || platform.DigestOf(v.Data()) != p.Digest() {
			f.log.Warn("part", "name", p.Name(), "error", err)
			f.sleep(minBackoff)
			return nil, false
		}
		blobs = append(blobs, v.Data())
	}
	return blobs, true
}

// offerResult is what Store.Offer returns.
type offerResult struct {
	result  platform.OfferResult
	missing []platform.Part
	err     error
}

// offer offers a manifest to the store. If it is put in force, all components apply it
// and it is pushed to peers.
func (f *feed) offer(now time.Time, m *platform.Manifest, blobs [][]byte, source string) (platform.OfferResult, []platform.Part, error) {
	r, err := workers.Do(f.baseCtx, f.pool, func() offerResult {
		var r offerResult
		r.result, r.missing, r.err = f.store.Offer(m, blobs)
		if r.result == platform.Applied {
			f.onApplied(now, f.store.Current().Content())
		}
		return r
	})
	if err != nil {
		return platform.Older, nil, err
	}
	if r.result == platform.Applied {
		f.metrics.increment("versions_applied")
		f.log.Info("version", "verdict", r.result.String(), "version", m.Version().Number(),
			"digest", m.Version().Digest().String(), "source", source)
		f.tasks.start(func() { f.replicator.push(source) })
	}
	return r.result, r.missing, r.err
}

// sleep waits for d and returns false if the daemon is closed before.
func (c *core) sleep(d time.Duration) bool {
	if d <= 0 {
		return c.baseCtx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.baseCtx.Done():
		return false
	}
}
