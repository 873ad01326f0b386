package backend

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// crashThreshold is the number of crashes at which a request is quarantined.
	crashThreshold = 2
	// quarantineDuration is how long a request stays quarantined after its second crash. Each
	// further one multiplies the time by quarantineFactor, up to maxQuarantineDuration, so that a
	// request that is sent for hours crashes a handful of backend servers in all.
	quarantineDuration    = time.Minute
	quarantineFactor      = 8
	maxQuarantineDuration = 24 * time.Hour
	// probeInterval is the time between two requests that are admitted after the end of a
	// quarantine, until one of them is answered.
	probeInterval = 10 * time.Second
	// maxStagger is the largest fraction by which a daemon lengthens a quarantine.
	maxStagger = 0.5
	// duplicateReportInterval is the time within which two reports are taken to be
	// of the same crash.
	duplicateReportInterval = 200 * time.Millisecond
	// crashRetention is how long a crash is remembered, after the latest end of the quarantine if
	// there is one.
	crashRetention = 10 * time.Minute
	// maxRequestCrashes is the number of crashes of one request that are remembered.
	maxRequestCrashes = 16
	// maxReportAge is the greatest age of a crash that is believed. Crashes are forgotten before.
	maxReportAge = 2 * maxQuarantineDuration
	// maxSharedReports is the number of reports that daemons exchange, some 50 bytes each.
	maxSharedReports = 128
)

// RequestKey identifies equal requests of one customer. The customer is part of
// the key so that crashes caused by one customer never quarantine requests of
// another.
type RequestKey struct {
	customer    string
	fingerprint uint64
}

// NewRequestKey returns the key of a customer's requests with the given
// fingerprint, a hash of what equal requests have in common. All daemons must compute
// it alike, since they report crashes to each other.
func NewRequestKey(customer string, fingerprint uint64) RequestKey {
	return RequestKey{customer: customer, fingerprint: fingerprint}
}

// Customer returns the name of the customer.
func (k RequestKey) Customer() string { return k.customer }

// Fingerprint returns the hash of what equal requests have in common.
func (k RequestKey) Fingerprint() uint64 { return k.fingerprint }

// crash is the crash of a backend server while it was running a request.
type crash struct {
	id uint64
	at time.Time
	// answered states that a backend server has run an equal request since without a crash.
	answered bool
}

// crashRecord holds the crashes of backend servers while they were running a request.
type crashRecord struct {
	// crashes are sorted by id. The slice is replaced, not modified.
	crashes []crash
	// probeAt is the time from which a request may be admitted after the end of the quarantine.
	probeAt time.Time
}

// standing returns the number of crashes without an answer since, and the time of the last one.
func (r crashRecord) standing() (count int, last time.Time) {
	if len(r.crashes) == 1 && !r.crashes[0].answered {
		return 1, r.crashes[0].at
	}
	byTime := slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return c.answered })
	slices.SortFunc(byTime, func(a, b crash) int { return a.at.Compare(b.at) })
	for _, c := range byTime {
		if count == 0 || c.at.Sub(last) >= duplicateReportInterval {
			count++
			last = c.at
		}
	}
	return count, last
}

// latest returns the time of the last crash, answered or not.
func (r crashRecord) latest() (at time.Time) {
	for _, c := range r.crashes {
		if c.at.After(at) {
			at = c.at
		}
	}
	return at
}

// has reports whether the record has the crash with an id.
func (r crashRecord) has(id uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.id == id })
}

// expired reports whether the record has no meaning any more.
func (r crashRecord) expired(now time.Time) bool {
	count, _ := r.standing()
	return now.Sub(r.latest()) > crashRetention+lengthen(holdTime(count), maxStagger)
}

// holdTime returns how long a request is quarantined after its last crash.
func holdTime(crashes int) time.Duration {
	if crashes < crashThreshold {
		return 0
	}
	d := quarantineDuration
	for range crashes - crashThreshold {
		d = min(d*quarantineFactor, maxQuarantineDuration)
	}
	return d
}

// lengthen returns a duration that is longer by a fraction of it.
func lengthen(d time.Duration, fraction float64) time.Duration {
	return d + time.Duration(fraction*float64(d))
}

// merge returns the record with a crash added to it. Of two reports of one crash, the earlier time
// holds, since each daemon that passes a report on adds the time for which it was under way.
func (r crashRecord) merge(c crash) (merged crashRecord, changed bool) {
	i, found := slices.BinarySearchFunc(r.crashes, c.id, func(c crash, id uint64) int { return cmp.Compare(c.id, id) })
	if found {
		old := r.crashes[i]
		if c.at.After(old.at) {
			c.at = old.at
		}
		c.answered = c.answered || old.answered
		r.crashes = slices.Clone(r.crashes)
		r.crashes[i] = c
		return r, c.answered != old.answered
	}
	r.crashes = slices.Insert(slices.Clone(r.crashes), i, c)
	if len(r.crashes) > maxRequestCrashes {
		// All daemons have to drop the same ones.
		drop := slices.IndexFunc(r.crashes, func(c crash) bool { return c.answered })
		if drop < 0 {
			drop = maxRequestCrashes
		}
		r.crashes = slices.Delete(r.crashes, drop, drop+1)
		return r, drop != i
	}
	return r, true
}

// Quarantine identifies poison requests: those that were running whenever a backend server crashed.
//
// A request is quarantined after its second crash without an answer in between: for a minute, and
// eight times longer after each further crash. Once that has passed, a request is admitted now and
// then, so that one which merely ran beside a poison request is cleared by its answer, and a poison
// request crashes one more backend server. The records of daemons are merged, in any order and any
// number of times, with what Shared returns, so that a daemon that has restarted, or has missed a
// report or an answer, decides as the others do.
//
// A Quarantine is safe for concurrent use. Use NewQuarantine to create one.
type Quarantine struct {
	records *table.Table[RequestKey, crashRecord]
	// counted holds the reports that were counted last.
	counted *table.Recent[reportID]
	// stagger is the fraction by which this daemon lengthens a quarantine.
	stagger float64
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		records: table.New[RequestKey, crashRecord](lock.Quarantine),
		counted: table.NewRecent[reportID](lock.Quarantine, maxCountedReports),
	}
}

// WithStagger makes the quarantine last longer by a part of its duration that depends on draw, a
// random number in [0,1), and returns q. With a draw of its own, a daemon seldom admits a request at
// the same moment as others do, and all learn what comes of it.
func (q *Quarantine) WithStagger(draw float64) *Quarantine {
	q.stagger = draw * maxStagger
	return q
}

// RecordCrash records that a backend server, here or at another daemon, crashed at a time
// while it was running a request. Two records of the same request whose times differ by less
// than 200 ms are taken to be of the same crash: counted is false for the second one. The report is
// for the other daemons.
func (q *Quarantine) RecordCrash(at time.Time, key RequestKey) (report CrashReport, counted bool) {
	c := crash{id: newCrashID(), at: at}
	return NewCrashReport(c.id, key, at), q.record(key, c)
}

// newCrashID returns an id that differs from those of other crashes. 0 means that there is none.
func newCrashID() uint64 { return max(rand.Uint64(), 1) } //nolint:gosec // not for secrets

// record adds a crash to those of a request, unless it is the same as another one.
func (q *Quarantine) record(key RequestKey, c crash) (counted bool) {
	q.records.Update(key, func(v crashRecord, _ bool) (crashRecord, bool) {
		if v.expired(c.at) {
			v = crashRecord{}
		}
		if slices.ContainsFunc(v.crashes, func(o crash) bool { return !o.answered && c.at.Sub(o.at).Abs() < duplicateReportInterval }) {
			return v, true
		}
		v, counted = v.merge(c)
		return v, true
	})
	return counted
}

// RecordReport records the report of a crash that a daemon has sent, age after the crash, or that it
// is about to send itself, and reports whether it is counted. A report with the id of an earlier one
// from that daemon is not, among the last 4096 of all daemons and those that the request's record
// has. The id is 0 for daemons of earlier versions, which do not repeat reports. A report that arrives
// after an answer to the same request counts, though its crash may have been before.
func (q *Quarantine) RecordReport(now time.Time, from string, id uint64, key RequestKey, age time.Duration) bool {
	c := crash{id: newCrashID(), at: now.Add(-min(max(age, 0), reportLifetime))}
	if id != 0 {
		c.id = crashID(from, id)
		if v, _ := q.records.Get(key); !q.counted.Add(reportID{from: from, id: id}) || v.has(c.id) {
			return false
		}
	}
	q.record(key, c)
	return true
}

// crashID returns the id of a crash for all daemons from the one that it has among those of the daemon
// that reports it.
func crashID(from string, id uint64) uint64 {
	return max(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(from), id)), 1)
}

// Merge adds the reports of other daemons, which may be repeated, and returns those that state
// something new. A time after now, or more than two days before, is replaced by the nearest one that
// is not.
func (q *Quarantine) Merge(now time.Time, reports []CrashReport) (added []CrashReport) {
	byKey := make(map[RequestKey][]CrashReport)
	for _, r := range reports {
		byKey[r.key] = append(byKey[r.key], r)
	}
	for key, list := range byKey {
		q.records.Update(key, func(v crashRecord, _ bool) (crashRecord, bool) {
			if v.expired(now) {
				v = crashRecord{}
			}
			var changed []CrashReport
			for _, r := range list {
				var isNew bool
				at := now.Add(-min(max(now.Sub(r.at), 0), maxReportAge))
				if v, isNew = v.merge(crash{id: r.id, at: at, answered: r.answered}); isNew {
					changed = append(changed, r)
				}
			}
			if v.expired(now) {
				return v, false
			}
			added = append(added, changed...)
			return v, true
		})
	}
	return added
}

// Shared returns the reports that daemons exchange, and a digest of them, 0 if there are none. They are
// those of the requests with more than one crash, answered or not, and if there are too many, those of
// the requests with the most crashes.
func (q *Quarantine) Shared(now time.Time) (reports []CrashReport, digest uint64) {
	type shared struct {
		key     RequestKey
		crashes []crash
	}
	var list []shared
	q.records.Each(func(key RequestKey, v crashRecord) {
		if len(v.crashes) > 1 && !v.expired(now) {
			list = append(list, shared{key: key, crashes: v.crashes})
		}
	})
	// All daemons have to choose the same ones, although the times that they know differ a little.
	slices.SortFunc(list, func(a, b shared) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.crashes[0].id, b.crashes[0].id))
	})
	for _, s := range list {
		if len(reports)+len(s.crashes) > maxSharedReports {
			break
		}
		for _, c := range s.crashes {
			r := CrashReport{id: c.id, key: s.key, at: c.at, answered: c.answered}
			reports = append(reports, r)
			digest ^= r.hash()
		}
	}
	return reports, digest
}

// hash returns a hash of what all daemons know alike of a crash.
func (r CrashReport) hash() uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(r.key.customer)
	data := binary.LittleEndian.AppendUint64([]byte{0}, r.key.fingerprint)
	data = binary.LittleEndian.AppendUint64(data, r.id)
	if r.answered {
		data = append(data, 1)
	}
	_, _ = h.Write(data)
	return h.Sum64()
}

// RecordAnswer records that a backend server ran a request without crashing. It returns the reports
// to send to the other daemons, which may have quarantined it.
func (q *Quarantine) RecordAnswer(key RequestKey) (answered []CrashReport) {
	if v, recorded := q.records.Get(key); !recorded || v.answered() {
		return nil
	}
	q.records.Update(key, func(v crashRecord, ok bool) (crashRecord, bool) {
		v.crashes = slices.Clone(v.crashes)
		for i := range v.crashes {
			v.crashes[i].answered = true
		}
		if len(v.crashes) > 1 {
			for _, c := range v.crashes {
				answered = append(answered, CrashReport{id: c.id, key: key, at: c.at, answered: true})
			}
		}
		return v, ok
	})
	return answered
}

// answered reports whether a backend server has run the request since each of its crashes.
func (r crashRecord) answered() bool {
	return !slices.ContainsFunc(r.crashes, func(c crash) bool { return !c.answered })
}

// Quarantined reports whether a request is currently quarantined.
func (q *Quarantine) Quarantined(now time.Time, key RequestKey) bool {
	v, ok := q.records.Get(key)
	return ok && q.holds(now, v)
}

// holds reports whether a request with the given record is quarantined.
func (q *Quarantine) holds(now time.Time, v crashRecord) bool {
	count, last := v.standing()
	return count >= crashThreshold && now.Before(last.Add(lengthen(holdTime(count), q.stagger)))
}

// Admit reports whether a request may run. Once its quarantine has ended, one request is admitted
// each 10 s until one has been answered.
func (q *Quarantine) Admit(now time.Time, key RequestKey) bool {
	if _, recorded := q.records.Get(key); !recorded {
		return true
	}
	admitted := true
	q.records.Update(key, func(v crashRecord, ok bool) (crashRecord, bool) {
		if count, _ := v.standing(); count < crashThreshold {
			return v, ok
		}
		if admitted = !q.holds(now, v) && !now.Before(v.probeAt); admitted {
			v.probeAt = now.Add(probeInterval)
		}
		return v, ok
	})
	return admitted
}

// Sweep removes the records that have expired.
func (q *Quarantine) Sweep(now time.Time) {
	q.records.Sweep(func(_ RequestKey, v crashRecord) bool { return !v.expired(now) })
}
