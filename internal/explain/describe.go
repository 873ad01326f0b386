package explain

import (
	"fmt"
	"strings"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// reasonTexts describes the reasons for which a request did not run, or for which it is
// unknown whether it did.
var reasonTexts = map[caller.Reason]string{
	caller.ReasonInvalidKey:        "the API key matches no customer",
	caller.ReasonNoRoute:           "no route matches the request",
	caller.ReasonRateLimited:       "the customer has exceeded its rate limit",
	caller.ReasonLimitUnknown:      "the daemons that hold the customer's limit did not answer",
	caller.ReasonOverload:          "there was not enough capacity to run the request in time",
	caller.ReasonDeadlineExceeded:  "the deadline was exceeded",
	caller.ReasonCancelled:         "the caller cancelled the request",
	caller.ReasonNoBackend:         "no backend server was reachable",
	caller.ReasonLeaving:           "the backend server or its daemon is shutting down",
	caller.ReasonStarting:          "the daemon is still starting",
	caller.ReasonConfigUnconfirmed: "the configuration version in force has not been confirmed for too long",
	caller.ReasonDuplicate:         "the request has already been decided",
	caller.ReasonNoQuorum:          "too few of the daemons that hold its idempotency key answered",
	caller.ReasonNoIdempotencyKey:  "the request has no idempotency key",
	caller.ReasonQuarantined:       "requests like this one have crashed backend servers",
	caller.ReasonDepthExceeded:     "the calls are nested too deeply",
	caller.ReasonResponseLost:      "the connection broke after the request was sent",
	caller.ReasonBadRequest:        "the request is malformed",
	caller.ReasonOutOfService:      "the data centre is out of service",
	caller.ReasonTooLarge:          "the request exceeds the size limits",
}

// describe formats a log line as a sentence.
func describe(l *schema.LogLine) string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch l.GetText() {
	case "answered":
		add("%s answered with %d after %s and %d attempts", l.GetMethod(), l.GetStatus(), l.GetTook(), l.GetTries())
		if l.GetCustomer() != "" {
			add("customer %s", l.GetCustomer())
		}
		add("configuration version %d", l.GetVersion())
		if l.GetPart() != "" {
			add("limit of %g requests per second and burst of %g", l.GetRate(), l.GetBurst())
			add("refused by the %s at %s", l.GetPart(), l.GetHolder())
		}
	case "placed":
		add("forwarded to %s of %s", l.GetInstance(), l.GetService())
		if !l.GetOffered() && l.GetOutcome() == caller.OutcomeNotRun.String() {
			add("not sent to the backend server")
		}
	case "admission":
		add("admission at %s: waited %s, took %s", l.GetInstance(), l.GetWaited(), l.GetTook())
		add("%d of %d running, %d waiting", l.GetRunning(), l.GetLimit(), l.GetWaiting())
	default:
		add("%s", l.GetText())
	}
	if l.GetOutcome() != "" {
		add("%s", l.GetOutcome())
	}
	if l.GetReason() != "" {
		add("%s", reasonText(l.GetReason()))
	}
	if l.GetError() != "" {
		add("%s", l.GetError())
	}
	text := strings.Join(parts, ", ")
	if _, call, ok := strings.Cut(l.GetRequest(), "."); ok {
		text = "nested call " + call + ": " + text
	}
	return text
}

func reasonText(reason string) string {
	if text, ok := reasonTexts[caller.Reason(reason)]; ok {
		return text
	}
	return reason
}
