package explain

import (
	"fmt"
	"strings"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// reasons says in plain words why a request did not run, or why it is not known
// whether it did.
var reasons = map[caller.Reason]string{
	caller.ReasonInvalidKey:        "no customer has the key",
	caller.ReasonNoRoute:           "no route leads to a service",
	caller.ReasonRateLimited:       "the customer is over its limit",
	caller.ReasonLimitUnknown:      "the daemons that keep the customer's limit did not answer",
	caller.ReasonOverload:          "there was no room before the request would be late",
	caller.ReasonDeadlineExceeded:  "its time ran out",
	caller.ReasonCancelled:         "its caller left",
	caller.ReasonNoBackend:         "no backend server could be reached",
	caller.ReasonLeaving:           "the backend server or its daemon is leaving",
	caller.ReasonStarting:          "the daemon has just started",
	caller.ReasonConfigUnconfirmed: "the version in force was not confirmed for too long",
	caller.ReasonDuplicate:         "it was decided before",
	caller.ReasonNoQuorum:          "too few holders of its key answered",
	caller.ReasonNoIdempotencyKey:  "it has no idempotency key",
	caller.ReasonQuarantined:       "backend servers died of requests like it",
	caller.ReasonDepthExceeded:     "the calls are nested too deep",
	caller.ReasonResponseLost:      "the connection broke after it was sent",
	caller.ReasonBadRequest:        "the request is malformed",
	caller.ReasonOutOfService:      "the data centre is out of service",
	caller.ReasonTooLarge:          "the request is larger than the limits allow",
}

// describe tells a line in a sentence.
func describe(l *schema.LogLine) string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	switch l.GetText() {
	case "answered":
		add("%s answered with %d after %s and %d tries", l.GetMethod(), l.GetStatus(), l.GetTook(), l.GetTries())
		if l.GetCustomer() != "" {
			add("customer %s", l.GetCustomer())
		}
		add("version %d", l.GetVersion())
	case "placed":
		add("handed to %s of %s", l.GetInstance(), l.GetService())
		if !l.GetOffered() && l.GetOutcome() == caller.OutcomeNotRun.String() {
			add("not sent to the backend server")
		}
	case "admission":
		add("decided beside %s: waited %s, took %s", l.GetInstance(), l.GetWaited(), l.GetTook())
		add("%d of %d running, %d waiting", l.GetRunning(), l.GetLimit(), l.GetWaiting())
	default:
		add("%s", l.GetText())
	}
	if l.GetOutcome() != "" {
		add("%s", l.GetOutcome())
	}
	if l.GetReason() != "" {
		add("%s", reason(l.GetReason()))
	}
	if l.GetError() != "" {
		add("%s", l.GetError())
	}
	text := strings.Join(out, ", ")
	if _, call, ok := strings.Cut(l.GetRequest(), "."); ok {
		text = "call " + call + ": " + text
	}
	return text
}

func reason(name string) string {
	if words, ok := reasons[caller.Reason(name)]; ok {
		return words
	}
	return name
}
