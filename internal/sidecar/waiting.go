package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/handover"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// withdrawInterval is the time after which a daemon is asked again to refuse requests, since the
	// message may have been lost or have overtaken a request.
	withdrawInterval = 250 * time.Millisecond
	// withdrawTime is the time that it takes to withdraw a request from another daemon if the first
	// message is lost.
	withdrawTime = 2 * withdrawInterval
)

// errStopping is the cause for which the context of a request ends at a planned stop.
var errStopping = eris.New("daemon is stopping")

// waitingRequest is an attempt of a request that may not have reached a backend server yet.
type waitingRequest struct {
	req *request
	// daemon is the IP address of the daemon that the request was sent to, or empty if it is
	// handled here.
	daemon string
	// offer is committed once the request may run. Until then the request can be given up as not
	// run.
	offer  *handover.Offer
	cancel context.CancelCauseFunc
}

// giveUp gives the request up and reports whether it has not run and will not run.
func (w waitingRequest) giveUp() bool {
	if !w.offer.Withdraw() {
		return false
	}
	w.cancel(errStopping)
	return true
}

// waitingRequests holds the open attempts of requests, here and at other daemons, by number, so that a
// planned stop can end those that would outlast it. Use newWaitingRequests to create one.
type waitingRequests struct {
	byNumber *table.Table[uint32, waitingRequest]
}

func newWaitingRequests() *waitingRequests {
	return &waitingRequests{byNumber: table.New[uint32, waitingRequest](lock.Calls)}
}

// newAttemptNumber returns a number that identifies an attempt among those that a daemon handles at a
// time. It is not 0.
func newAttemptNumber() uint32 { return max(rand.Uint32(), 1) } //nolint:gosec // no secret

// add adds an attempt, which the returned function removes. The number may be 0 if its sender does
// not withdraw it.
func (r *waitingRequests) add(number uint32, w waitingRequest) (remove func()) {
	if number == 0 {
		number = newAttemptNumber()
	}
	r.byNumber.Put(number, w)
	return func() { r.byNumber.Delete(number) }
}

// withdraw gives up attempts on behalf of the daemon that sent them, and returns how many of them had
// not begun. Their responses tell the sender.
func (r *waitingRequests) withdraw(numbers []uint32) (withdrawn int) {
	for _, n := range numbers {
		if w, ok := r.byNumber.Get(n); ok && w.daemon == "" && w.giveUp() {
			withdrawn++
		}
	}
	return withdrawn
}

// giveUp gives up the attempts for which keep returns false. It returns the numbers of those that
// other daemons may have begun, by the daemons' IP addresses.
func (r *waitingRequests) giveUp(keep func(waitingRequest) bool) (elsewhere map[string][]uint32) {
	ended := make(map[uint32]waitingRequest)
	r.byNumber.Each(func(number uint32, w waitingRequest) {
		if !keep(w) {
			ended[number] = w
		}
	})
	elsewhere = make(map[string][]uint32)
	for number, w := range ended {
		if !w.giveUp() && w.daemon != "" {
			elsewhere[w.daemon] = append(elsewhere[w.daemon], number)
		}
	}
	return elsewhere
}

// withdrawals ends the requests that would outlast a planned stop.
type withdrawals struct {
	daemon *Daemon
	plan   caller.Shutdown
	// asked is when each daemon was last asked to refuse requests.
	asked map[string]time.Time
}

func newWithdrawals(d *Daemon, plan caller.Shutdown) *withdrawals {
	return &withdrawals{daemon: d, plan: plan, asked: make(map[string]time.Time)}
}

// run gives up the requests that would most likely not be answered before the exit if they were
// started now. Only the daemon that queues a request knows whether it has been started, so it is asked
// to refuse those that have not.
func (w *withdrawals) run() {
	d, now := w.daemon, w.daemon.monitor.Now()
	elsewhere := d.waiting.giveUp(func(r waitingRequest) bool {
		deadline := d.monitor.Clock(r.req.deadline)
		if r.daemon == "" {
			return w.plan.Accepts(now, deadline, d.admission.queue.MeanServiceTime(r.req.route))
		}
		return w.plan.MayStart(now.Add(withdrawTime), deadline, d.sender.balancer.MeanRunTime(r.req.route))
	})
	for ip, numbers := range elsewhere {
		if now.Sub(w.asked[ip]) < withdrawInterval {
			continue
		}
		w.asked[ip] = now
		d.gossiper.withdraw(ip, numbers)
	}
}
