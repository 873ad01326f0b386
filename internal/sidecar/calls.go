package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// runningRequest is what the calls of a request need to know of it.
type runningRequest struct {
	route    string
	priority caller.Priority
	deadline time.Time
	started  time.Time
	// spent is the time already spent before the request started, on the request on whose
	// behalf it is itself made.
	spent time.Duration
	// resent indicates that the run is a resend, or a call of a run that is one.
	resent bool
	// suspended measures how long the machine was suspended. The monotonic clock of deadline
	// does not include that time.
	suspended suspend.Meter
	// runs is the number of runs with the same id. A caller may repeat a request while an
	// earlier attempt still runs.
	runs int
}

// runningRequests holds the requests that the daemon's own backend server is running, by id. A
// request whose id extends one of these is a call of that request. Without it, calls and callers'
// requests look alike where there are no API keys: a call that is refused then loses a request
// whose own work is already done.
//
// The state does not outlive the process. After a restart of the daemon, calls of requests that
// started before count as callers' requests.
type runningRequests struct {
	protocol Protocol
	byID     *table.Table[string, runningRequest]
	// tally counts the calls for the reports to the daemons that sent their parents.
	tally *upstream.CallTally
}

func newRunningRequests(p Protocol) *runningRequests {
	return &runningRequests{protocol: p, byID: table.New[string, runningRequest](lock.Calls), tally: upstream.NewCallTally()}
}

// recordCall records the response to a request if it is a call. A call that failed because its
// parent left it too little time says nothing about the service that it was sent to.
func (r *runningRequests) recordCall(now time.Time, req *request, resp *response) {
	if req.parent != "" && !(req.hurried && resp.lacksCapacity()) {
		r.tally.Record(now, req.parentKind, resp.lacksCapacity())
	}
}

// begin records that a request is sent to the backend server. end must be called once it has been
// answered or given up.
func (r *runningRequests) begin(now time.Time, req *request) {
	if req.id == "" {
		return
	}
	r.byID.Update(req.id, func(old runningRequest, _ bool) (runningRequest, bool) {
		return runningRequest{
			route: req.route, priority: req.priority, deadline: req.deadline, started: now,
			spent: req.spent, resent: req.resent, suspended: req.suspended, runs: old.runs + 1,
		}, true
	})
}

// end removes a request that begin has recorded.
func (r *runningRequests) end(req *request) {
	if req.id == "" {
		return
	}
	r.byID.Update(req.id, func(running runningRequest, ok bool) (runningRequest, bool) {
		running.runs--
		return running, ok && running.runs > 0
	})
}

// parent returns the request that made the request with an id, or false if the id extends that of
// no running request.
func (r *runningRequests) parent(id string) (runningRequest, bool) {
	parentID, ok := r.protocol.ParentID(id)
	if !ok {
		return runningRequest{}, false
	}
	return r.byID.Get(parentID)
}

// machine holds the addresses from which the processes on the daemon's machine connect to it. An id
// can be forged, the address of a connection cannot: a caller on another machine that extends the id
// of a running request would get the rank of that request, pass the refusals of a shortage, and count
// among the calls for which requests of that kind are refused. A caller on the same machine has the
// address of the backend server and is not told apart.
type machine struct {
	addresses []netip.Addr
}

// newMachine returns a machine with the given addresses, besides those of its loopback interface.
func newMachine(addresses ...netip.Addr) machine {
	m := machine{}
	for _, a := range addresses {
		m.addresses = append(m.addresses, a.Unmap())
	}
	return m
}

// isSource reports whether a connection from a remote address comes from the machine.
func (m machine) isSource(remote string) bool {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	ip := a.Addr().Unmap()
	return ip.IsLoopback() || slices.Contains(m.addresses, ip)
}

// makeCall turns a request into a call of a running request: the parent's ranks precede its own,
// and it ends with its parent at the latest.
func (req *request) makeCall(now time.Time, parent runningRequest, rank int) {
	req.parent = parent.route
	req.parentKind = upstream.NewKind(parent.route, parent.priority)
	req.priority = parent.priority.Call(rank)
	req.spent = parent.spent + max(0, now.Sub(parent.started)+parent.suspended.Elapsed())
	req.resent = parent.resent
	deadline := parent.deadline.Add(-parent.suspended.Elapsed())
	if deadline.Before(req.deadline) {
		req.deadline = deadline
	}
	if req.deadline.Before(req.objective) {
		req.objective, req.hurried = req.deadline, true
	}
}
