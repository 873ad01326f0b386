package peer

import "time"

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes of a host that
	// does not answer.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = time.Second
	// ReturnPeriod is the time within which a daemon that was killed is usually back: it is
	// started again after about 0.5 to 2 s.
	ReturnPeriod = 3 * time.Second
	// probeSpacing is the least mean time between two probes of any hosts, which bounds the
	// processor time that they take on a machine with a small part of a core.
	probeSpacing = 5 * time.Millisecond
)

// ProbeInterval returns the time until the next probe of a host that does not answer.
//
// It addresses the seconds after most daemons of a fleet were killed at once. They come back
// within two seconds or so, and until the others know it, few backend servers take all requests.
// Within that time a host is probed at short intervals, which are the longer the more hosts do not
// answer. After it, the interval doubles with each probe: the host is down or cut off for long.
// since is the time for which the host has not answered, late the number of probes after
// ReturnPeriod, and hosts the number of hosts that do not answer.
func ProbeInterval(since time.Duration, late, hosts int) time.Duration {
	interval := min(max(probeSpacing*time.Duration(hosts), minProbeInterval), maxProbeInterval)
	if since < ReturnPeriod {
		return interval
	}
	return min(interval<<min(late, 8), maxProbeInterval)
}
