package customer

import "github.com/lycheehead/lycheehead/pkg/platform"

// transition is the change of a customer's limit from one split to another, as
// seen by one daemon. Daemons apply versions at different times and may skip some,
// so a share may not increase before it is certain that no daemon uses an older
// split.
//
// A transition has two phases. In the first, every daemon that this daemon knows to
// have had a share since its last completed transition is observed to run a
// version with the new split. This daemon has then acknowledged the split. In the
// second, every holder of the new split is observed to have acknowledged it, which
// covers holders that only other daemons know of. A daemon that never acknowledged a
// split never used its increased share. Daemons are identified by the names of their
// backend servers.
type transition struct {
	// versions has the numbers of the versions with the newest split that this
	// daemon has applied.
	versions map[uint64]bool
	// unobserved are the daemons that the first phase waits for.
	unobserved map[string]bool
	// unacknowledged are the daemons that the second phase waits for.
	unacknowledged map[string]bool
	// holders are the daemons that have had a share since the last completed
	// transition.
	holders map[string]bool
}

// restart begins the first phase anew with a newer split.
func (t *transition) restart(cfg *platform.Config, self string, version uint64, old, next Split) {
	if t.holders == nil {
		t.holders = make(map[string]bool)
	}
	t.versions = map[uint64]bool{version: true}
	t.unobserved = make(map[string]bool)
	t.unacknowledged = make(map[string]bool)
	for _, a := range old.allotments {
		t.holders[a.holder] = true
	}
	for _, a := range next.allotments {
		t.holders[a.holder] = true
		t.unacknowledged[a.holder] = true
	}
	for name := range t.holders {
		if b, ok := cfg.Backend(name); ok {
			if c, _ := cfg.Centre(b.Centre()); c.Lost() {
				continue
			}
		}
		t.unobserved[name] = true
	}
	delete(t.unobserved, self)
	delete(t.unacknowledged, self)
}

func (t *transition) observeVersion(name string, version uint64, acknowledged bool) {
	if !t.versions[version] {
		return
	}
	delete(t.unobserved, name)
	if acknowledged {
		delete(t.unacknowledged, name)
	}
}

func (t *transition) observeStop(name string) {
	delete(t.unobserved, name)
	delete(t.unacknowledged, name)
}

// complete reports whether both phases are complete. acknowledged is whether the
// first phase is complete for all transitions at this daemon.
func (t *transition) complete(acknowledged bool) bool {
	return acknowledged && len(t.unobserved) == 0 && len(t.unacknowledged) == 0
}
