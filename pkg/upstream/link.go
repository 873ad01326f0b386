package upstream

import "time"

// MaxInlineBody is the size in bytes up to which a body is sent together with the header of its
// request. A larger body is sent once the request has been admitted and the link of the machine that
// it is sent to has capacity for it.
const MaxInlineBody = 16 << 10

// WithLink returns a copy of the report for a machine whose link needs backlog to receive the
// bodies that it has been promised, and pace for a KiB. Both are zero if the rate of the link is
// unknown.
func (r LoadReport) WithLink(backlog, pace time.Duration) LoadReport {
	r.linkBacklog, r.linkPace = backlog, pace
	return r
}

// LinkBacklog returns the time that the machine's link needs to receive the bodies that it has
// been promised, or zero if it is unknown.
func (r LoadReport) LinkBacklog() time.Duration { return r.linkBacklog }

// LinkPace returns the time that the machine's link needs for a KiB, or zero if it is unknown.
func (r LoadReport) LinkPace() time.Duration { return r.linkPace }

// linkTime returns the expected time until a body of size bytes has arrived, given the share
// of the report that has not decayed. A backlog loses its weight with the age of the report like the
// reported load: it may have drained, or been refilled. A report that is forgotten says nothing of the
// link, which may have been slow for a moment: while an instance is avoided, it sends no other report.
func (r LoadReport) linkTime(size int, weight float64) time.Duration {
	if size <= MaxInlineBody || weight == 0 {
		return 0
	}
	transfer := float64(r.linkPace) * float64(size) / 1024
	return time.Duration(float64(r.linkBacklog)*weight + transfer)
}
