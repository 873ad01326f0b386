package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the deployment that the settings of the daemons contain.
const (
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// contact is how long an unplanned disruption excuses what follows it.
	contact = 3 * time.Second
	// lost is how long after its last byte a request may be cut without having run.
	lost = 200 * time.Millisecond
	// routeTimeout is the timeout of all routes, deadline that of all callers.
	routeTimeout = 2 * time.Second
	deadline     = 3 * time.Second
	// applyBound is how long after its acknowledgement a version must be in force.
	applyBound = 2 * time.Second
	// drainBound is how long after the acknowledgement of its leave a backend server may
	// receive requests.
	drainBound = 2 * time.Second
	// goneBound is how long after its caller has left a request may reach a backend server.
	goneBound = 500 * time.Millisecond
)

// Limit of the customer that has one, and by how much it may be exceeded.
const (
	limitRate   = 10
	limitBurst  = 10
	limitWindow = 5 * time.Second
	limitOver   = 0.25
	limitSlack  = 20
)

// tolerated is how many requests may break a rule, where a few may.
var tolerated = map[string]int{"GONE": 3}

// A rule returns how a request breaks it, or an empty text.
type rule struct {
	name  string
	check func(r *request, h *history) string
}

var rules = []rule{
	{"LOST", checkLost},
	{"UNSENT", checkUnsent},
	{"TWICE", checkTwice},
	{"REFUSED", checkRefused},
	{"MIXED", checkMixed},
	{"UNASKED", checkUnasked},
	{"DENIED", checkDenied},
	{"CONFIG", checkConfig},
	{"DRAIN", checkDrain},
	{"GONE", checkGone},
}

// judge returns the rules that a request breaks.
func judge(r *request, h *history) (found []breach) {
	for _, rule := range rules {
		if text := rule.check(r, h); text != "" {
			found = append(found, breach{rule.name, text})
		}
	}
	return found
}

// checkLost finds requests that ended without a response although they had run, had been sent,
// or were still being received. An unplanned disruption of the instances concerned excuses
// that, and so does the route's timeout.
func checkLost(r *request, h *history) string {
	var text string
	switch k := r.outcome.kind; {
	case k == silent:
		text = "no response until the caller stopped waiting"
	case k == crossed && len(r.runs) > 0:
		text = "ran, though the response before it announced the end of the connection"
	case k != cut:
		return ""
	case r.ended-r.begun >= routeTimeout:
		return ""
	case len(r.runs) > 0 && !r.excusedByStop(h):
		text = fmt.Sprintf("ran, and its connection ended without a complete response %.3f s after its head", (r.ended - r.begun).Seconds())
	case len(r.runs) > 0:
		return ""
	case r.sent != 0 && r.ended-r.sent > lost:
		text = fmt.Sprintf("its connection ended without a response %.3f s after its last byte", (r.ended - r.sent).Seconds())
	case r.sent == 0 && r.ended-r.begun > lost:
		text = fmt.Sprintf("its connection ended without a response %.3f s after its head, before its body was sent", (r.ended - r.begun).Seconds())
	}
	if h.unplanned(r.begun-contact, r.ended, r.concerned()...) {
		return ""
	}
	return text
}

// excusedByStop reports whether a request was sent early in a planned stop and was still running
// in the last sixth of the grace time.
func (r *request) excusedByStop(h *history) bool {
	at, ok := h.lastStop(r.instance, r.ended)
	if !ok || r.begun > at+grace/2 {
		return false
	}
	return slices.ContainsFunc(r.runs, func(e execution) bool {
		return e.until == 0 || e.until > at+grace*5/6
	})
}

// checkUnsent finds requests that failed with a response of the daemon's own that does not say
// that they have not run, though no backend server had received them, while there was planned
// work only.
func checkUnsent(r *request, h *history) string {
	if r.outcome.kind != answered || r.received > 0 {
		return ""
	}
	switch r.outcome.status {
	case http.StatusBadGateway:
	case http.StatusGatewayTimeout:
		if r.ended-r.begun >= routeTimeout*7/10 {
			return ""
		}
	default:
		return ""
	}
	if h.unplanned(r.begun-contact, r.ended) || h.refused(r.begun, r.ended) {
		return ""
	}
	return fmt.Sprintf("%d %s, but no backend server received it", r.outcome.status, r.outcome.detail)
}

// checkTwice finds requests that ran twice though they must not.
func checkTwice(r *request, _ *history) string {
	if r.idempotent || len(r.runs) < 2 {
		return ""
	}
	return fmt.Sprintf("ran %d times", len(r.runs))
}

// checkRefused finds requests that ran though a response said that they had not.
func checkRefused(r *request, _ *history) string {
	refusals := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if r.idempotent || len(r.runs) == 0 || r.outcome.kind != answered || !slices.Contains(refusals, r.outcome.status) {
		return ""
	}
	return fmt.Sprintf("refused with %d, but ran", r.outcome.status)
}

// checkMixed finds responses that are not those of the backend server to this request.
func checkMixed(r *request, _ *history) string {
	if !r.outcome.foreign {
		return ""
	}
	return r.outcome.detail
}

// checkUnasked finds requests that were changed on the way, and those that ran before they had
// been sent.
func checkUnasked(r *request, _ *history) string {
	for _, run := range r.runs {
		if run.wrong != "" {
			return "ran with " + run.wrong
		}
	}
	return ""
}

// checkDenied finds requests that were refused as if no version allowed them, though all do.
func checkDenied(r *request, _ *history) string {
	if r.extra || !r.denied() {
		return ""
	}
	return fmt.Sprintf("denied with %d", r.outcome.status)
}

// checkConfig finds requests on the extra route that were handled as only versions allow that
// can no longer be in force.
func checkConfig(r *request, h *history) string {
	if !r.extra || !h.inTouch(r.begun, r.ended, r.concerned()...) {
		return ""
	}
	switch some, all := h.extraRoute(r.begun, r.ended); {
	case all && r.denied():
		return fmt.Sprintf("denied with %d, but its route is in force", r.outcome.status)
	case !some && len(r.runs) > 0:
		return "ran, but its route is no longer in force"
	}
	return ""
}

// denied reports whether a daemon refused a request as one that the configuration does not allow.
func (r *request) denied() bool {
	denials := []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}
	return r.outcome.kind == answered && slices.Contains(denials, r.outcome.status)
}

// checkDrain finds requests that reached a backend server long after it had announced that it
// leaves.
func checkDrain(r *request, h *history) string {
	for _, run := range r.runs {
		late := run.arrived - run.announced
		if run.announced != 0 && late > drainBound && h.inTouch(r.begun, run.arrived, r.instance, run.instance) {
			return fmt.Sprintf("reached the backend server of instance %d %.3f s after its leave was acknowledged", run.instance, late.Seconds())
		}
	}
	return ""
}

// checkGone finds requests that reached a backend server long after their callers had left.
func checkGone(r *request, h *history) string {
	if r.outcome.kind != left {
		return ""
	}
	for _, run := range r.runs {
		late := run.arrived - r.ended
		if late > goneBound && h.inTouch(r.begun, run.arrived, r.instance, run.instance) {
			return fmt.Sprintf("reached the backend server of instance %d %.3f s after its caller had left", run.instance, late.Seconds())
		}
	}
	return ""
}

// checkQuota finds a window in which more requests ran than the limit of their customer allows.
func checkQuota(runs []time.Duration) string {
	allowed := int((limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOver)) + limitSlack
	runs = slices.Sorted(slices.Values(runs))
	first := 0
	for n, at := range runs {
		for at-runs[first] > limitWindow {
			first++
		}
		if count := n - first + 1; count > allowed {
			return fmt.Sprintf("%d requests of %s ran in the %s before %.3f s, %d may", count, customerLimited, limitWindow, at.Seconds(), allowed)
		}
	}
	return ""
}
