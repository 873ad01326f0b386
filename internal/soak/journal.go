package soak

import (
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// request is what a caller sends and sees, with the runs that backend servers report. Times
// count from the start of the soak; zero means that the event has not happened.
type request struct {
	id, shape, method, target string
	idempotent                bool
	// extra states that only some configuration versions have the request's route.
	extra bool
	// instance is the index of the instance at which the request begins.
	instance int
	// customer and service are what backend servers must be told about the caller.
	customer, service string
	bodySize          int
	bodySum           uint32

	// begun is when the caller began to send the head, sent when the last byte was sent.
	begun, sent, ended time.Duration
	outcome            outcome
	// received is how often a backend server has read the request's head.
	received int
	runs     []execution
}

// outcome is how a request ended at its caller.
type outcome struct {
	kind   outcomeKind
	status int
	// detail is the error with which the connection ended, or what is wrong with the response.
	detail string
	// foreign states that the response is not the backend server's, or not the request's.
	foreign bool
}

type outcomeKind uint8

const (
	// pending is the outcome of a request that has not ended.
	pending outcomeKind = iota
	// answered means that a complete response was received.
	answered
	// cut means that the connection ended without a complete response.
	cut
	// silent means that there was no response until the caller stopped waiting.
	silent
	// crossed means that the response before announced the end of the connection, so that
	// the request need not be read.
	crossed
	// left means that the caller closed the connection.
	left
	// unsent means that the connection ended before the request was begun.
	unsent
)

func (k outcomeKind) String() string {
	return [...]string{"pending", "answered", "cut", "silent", "crossed", "left", "unsent"}[k]
}

// execution is a run of a request at a backend server.
type execution struct {
	instance  int
	at, until time.Duration
	// arrived is when the backend server had read the request, announced when the platform had
	// acknowledged that it leaves, or zero.
	arrived, announced time.Duration
	// wrong is what differs from the request as it was sent, or empty.
	wrong string
}

// disruption is an interval in which an instance was disrupted. Its end is zero while it lasts.
type disruption struct {
	kind     string
	planned  bool
	from, to time.Duration
}

// release is a configuration version. Its acknowledgement is zero while there is none.
type release struct {
	extra              bool
	sent, acknowledged time.Duration
}

// history holds the disruptions of each instance and the configuration versions.
type history struct {
	disruptions map[int][]disruption
	releases    []release
}

func newHistory() *history { return &history{disruptions: make(map[int][]disruption)} }

// inTouch reports whether the instances were in touch with the platform and with each other in
// an interval and for some time before.
func (h *history) inTouch(from, to time.Duration, instances ...int) bool {
	for _, i := range instances {
		for _, d := range h.disruptions[i] {
			harmless := d.planned && d.kind != kindStop && d.kind != kindStart
			if !harmless && d.from <= to && (d.to == 0 || d.to >= from-contact) {
				return false
			}
		}
	}
	return true
}

// extraRoute reports whether some and whether all versions that may be in force in an interval
// have the extra route.
func (h *history) extraRoute(from, to time.Duration) (some, all bool) {
	all = true
	for n, r := range h.releases {
		replaced := false
		for _, next := range h.releases[n+1:] {
			replaced = replaced || next.acknowledged != 0 && next.acknowledged+applyBound < from
		}
		if replaced || r.sent > to {
			continue
		}
		some = some || r.extra
		all = all && r.extra
	}
	return some, all
}

// unplanned reports whether there was an unplanned disruption in an interval, of the given
// instances or, without any, of the whole fleet.
func (h *history) unplanned(from, to time.Duration, instances ...int) bool {
	for i, list := range h.disruptions {
		if len(instances) > 0 && !slices.Contains(instances, i) {
			continue
		}
		for _, d := range list {
			begun := d.from
			if d.kind == kindOwnEnd {
				begun -= noticed
			}
			if !d.planned && begun <= to && (d.to == 0 || d.to >= from) {
				return true
			}
		}
	}
	return false
}

// refused reports whether a proxy could not connect to a daemon in an interval.
func (h *history) refused(from, to time.Duration) bool {
	for _, list := range h.disruptions {
		if slices.ContainsFunc(list, func(d disruption) bool { return d.kind == kindRefused && d.from >= from && d.from <= to }) {
			return true
		}
	}
	return false
}

// lastStop returns the start of the last planned stop of an instance before a time.
func (h *history) lastStop(instance int, before time.Duration) (time.Duration, bool) {
	var last time.Duration
	found := false
	for _, d := range h.disruptions[instance] {
		if d.kind == kindStop && d.from <= before && (!found || d.from > last) {
			last, found = d.from, true
		}
	}
	return last, found
}

// Kinds of disruptions that the rules look for.
const (
	// kindStop is a planned stop.
	kindStop = "stop"
	// kindStart is the start of a daemon.
	kindStart = "start"
	// kindOwnEnd is the end of a daemon that nothing has ended, which is a breach of its own.
	kindOwnEnd = "own end"
	// kindRefused is a connection that a daemon did not accept behind a proxy. The other daemon
	// sees a reset instead, after which it cannot know that the request has not been received.
	kindRefused = "refused"
)

// noticed is how long after the end of a process its parent may see that on a busy machine.
// Requests are checked later.
const noticed = checkDelay

// journal holds the requests, the disruptions and the breaches of a soak.
type journal struct {
	start    time.Time
	out      io.Writer
	stopped  chan struct{}
	requests *table.Table[string, *request]

	mu       *lock.Mutex
	history  *history
	breaches []breach
	reported map[string]bool
	counts   map[string]int
	// few holds the requests that broke each rule.
	few map[string][]string
	// limited holds the times of the runs for the customer with a limit.
	limited []time.Duration
	// due holds the requests that have ended and have not been checked, the oldest first.
	due []ending
}

// ending is the end of a request.
type ending struct {
	id string
	at time.Duration
}

// breach is a broken rule.
type breach struct {
	rule, text string
}

func newJournal(start time.Time, out io.Writer) *journal {
	j := &journal{
		start: start, out: out, stopped: make(chan struct{}),
		requests: table.New[string, *request](lock.Claims), mu: lock.New(lock.Counters),
		history: newHistory(), reported: make(map[string]bool), counts: make(map[string]int),
		few: make(map[string][]string),
	}
	go j.checkEnded()
	return j
}

const (
	// checkDelay is how long after its end a request is checked. A backend server may run it
	// meanwhile.
	checkDelay    = time.Second
	checkInterval = 200 * time.Millisecond
)

// checkEnded checks the requests that have ended, until the journal is finished.
func (j *journal) checkEnded() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-j.stopped:
			return
		case <-ticker.C:
		}
		j.mu.Lock()
		n := 0
		for n < len(j.due) && j.due[n].at+checkDelay < j.now() {
			n++
		}
		due := j.due[:n]
		j.due = j.due[n:]
		j.mu.Unlock()
		for _, e := range due {
			j.check(e.id)
		}
	}
}

// finish checks all requests once more, since backend servers may have run them after the
// first check.
func (j *journal) finish() {
	time.Sleep(checkDelay)
	close(j.stopped)
	var ids []string
	j.requests.Each(func(id string, _ *request) { ids = append(ids, id) })
	for _, id := range ids {
		j.check(id)
	}
	j.mu.Lock()
	text := checkQuota(j.limited)
	j.mu.Unlock()
	if text != "" {
		j.report(breach{"QUOTA", text}, "quota")
	}
}

// ended records that a request has ended.
func (j *journal) ended(id, shape string, o outcome) {
	name := shape + ", " + o.kind.String()
	if o.status != 0 {
		name += fmt.Sprint(" ", o.status)
	}
	if o.status >= 400 {
		name += " " + o.detail
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[name]++
	j.due = append(j.due, ending{id, j.now()})
}

// note prints a line with the time.
func (j *journal) note(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%9.3f %s\n", j.now().Seconds(), text)
}

// disturbed reports whether there was an unplanned disruption of an instance in the time before
// now.
func (j *journal) disturbed(instance int, before time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.history.unplanned(j.now()-before, j.now(), instance)
}

// summarize prints how many requests had each outcome. It returns how often each rule was
// broken.
func (j *journal) summarize(title string) map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(j.counts)) {
		_, _ = fmt.Fprintf(j.out, "%8d %s\n", j.counts[name], name)
	}
	broken := make(map[string]int)
	for _, b := range j.breaches {
		broken[b.rule]++
	}
	_, _ = fmt.Fprintf(j.out, "soak: %s: %d breaches %v\n", title, len(j.breaches), broken)
	return broken
}

func (j *journal) now() time.Duration { return time.Since(j.start) }

// update changes the entry of a request. It returns false if there is none.
func (j *journal) update(id string, f func(r *request)) (ok bool) {
	j.requests.Update(id, func(r *request, known bool) (*request, bool) {
		if ok = known; ok {
			f(r)
		}
		return r, known
	})
	return ok
}

// snapshot returns a copy of a request.
func (j *journal) snapshot(id string) (c request) {
	j.update(id, func(r *request) {
		c = *r
		c.runs = slices.Clone(r.runs)
	})
	return c
}

// received records that a backend server has read the head of a request.
func (j *journal) received(id string) {
	j.update(id, func(r *request) { r.received++ })
}

// ran records that a backend server begins to run a request. The values are those that it
// received. It returns the position of the run in the list of runs.
func (j *journal) ran(e execution, id, method, target, customer, service string, body []byte) (n int) {
	e.at = j.now()
	known := j.update(id, func(r *request) {
		var wrong []string
		for _, v := range []struct{ name, got, want string }{
			{"method", method, r.method},
			{"target", target, r.target},
			{"customer", customer, r.customer},
			{"service", service, r.service},
			{"body", fmt.Sprintf("%d/%08x", len(body), crc32.ChecksumIEEE(body)), fmt.Sprintf("%d/%08x", r.bodySize, r.bodySum)},
		} {
			if v.got != v.want {
				wrong = append(wrong, fmt.Sprintf("%s %q, not %q", v.name, v.got, v.want))
			}
		}
		n = len(r.runs)
		e.wrong = strings.Join(wrong, ", ")
		r.runs = append(r.runs, e)
	})
	if !known {
		j.report(breach{"UNASKED", fmt.Sprintf("%s %s with the unknown id %q runs at instance %d", method, target, id, e.instance)}, "unknown "+id)
	}
	if customer == customerLimited {
		j.mu.Lock()
		j.limited = append(j.limited, e.at)
		j.mu.Unlock()
	}
	return n
}

// finished records the end of a run.
func (j *journal) finished(id string, n int) {
	at := j.now()
	j.update(id, func(r *request) { r.runs[n].until = at })
}

// disrupt records the beginning of a disruption and returns the function that ends it.
func (j *journal) disrupt(instance int, kind string, planned bool) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.history.disruptions[instance])
	j.history.disruptions[instance] = append(j.history.disruptions[instance], disruption{kind: kind, planned: planned, from: j.now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.history.disruptions[instance][n].to = j.now()
	}
}

// release records that a configuration version is sent and returns the function that records
// its acknowledgement.
func (j *journal) release(extra bool) (acknowledged func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.history.releases)
	j.history.releases = append(j.history.releases, release{extra: extra, sent: j.now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.history.releases[n].acknowledged = j.now()
	}
}

// check applies the rules to a request and reports the breaches that are new.
func (j *journal) check(id string) {
	r := j.snapshot(id)
	j.mu.Lock()
	found := judge(&r, j.history)
	for n := range found {
		found[n].text += "\n" + describe(&r, j.history)
	}
	j.mu.Unlock()
	for _, b := range found {
		if !j.tolerates(b.rule, id) {
			j.report(b, b.rule+id)
		}
	}
}

// tolerates records that a request broke a rule, and reports whether the rule allows that for as
// many requests as have broken it.
func (j *journal) tolerates(rule, id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Contains(j.few[rule], id) {
		j.few[rule] = append(j.few[rule], id)
	}
	return len(j.few[rule]) <= tolerated[rule]
}

// report prints a breach, unless one with the same key has been reported.
func (j *journal) report(b breach, key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.reported[key] {
		return
	}
	j.reported[key] = true
	j.breaches = append(j.breaches, b)
	_, _ = fmt.Fprintf(j.out, "%9.3f %s %s: %s\n", j.now().Seconds(), time.Now().UTC().Format(time.RFC3339Nano), b.rule, b.text)
}

// describe returns what the caller and the backend servers saw of a request, and the times
// since the last SIGTERM of the instances concerned and of others that were stopped shortly
// before.
func describe(r *request, h *history) string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, "          "+format+"\n", args...) }
	line("%s, %s %s %s at instance %d, idempotent %t", r.id, r.shape, r.method, r.target, r.instance, r.idempotent)
	end := fmt.Sprintf("%s %d", r.outcome.kind, r.outcome.status)
	if r.outcome.detail != "" {
		end += ": " + r.outcome.detail
	}
	line("caller: head sent %s, all sent %s, ended %s, %s", seconds(r.begun), seconds(r.sent), seconds(r.ended), end)
	concerned := r.concerned()
	for _, i := range slices.Sorted(maps.Keys(h.disruptions)) {
		if at, ok := h.lastStop(i, r.ended); ok && r.ended < at+busy && !slices.Contains(concerned, i) {
			concerned = append(concerned, i)
		}
	}
	for _, i := range concerned {
		if at, ok := h.lastStop(i, r.ended); ok {
			line("instance %d: SIGTERM %s, head sent %+.3f s and ended %+.3f s after it", i, seconds(at), (r.begun - at).Seconds(), (r.ended - at).Seconds())
		}
	}
	for _, run := range r.runs {
		line("backend server of instance %d: runs %s until %s %s", run.instance, seconds(run.at), seconds(run.until), run.wrong)
	}
	if len(r.runs) == 0 {
		line("no backend server has run it, %d received it", r.received)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// concerned returns the instances that took part in a request, as far as it is known.
func (r *request) concerned() []int {
	list := []int{r.instance}
	for _, run := range r.runs {
		if !slices.Contains(list, run.instance) {
			list = append(list, run.instance)
		}
	}
	return list
}

func seconds(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", d.Seconds())
}
