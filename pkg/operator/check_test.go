package operator_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/operator"
)

// TestCheck checks drafts from scripts and compares them. It guards against versions that are
// published although daemons reject them, or although a part of them has no effect. The line of
// an entry in a script is its position, and a name that is written - is empty.
func TestCheck(t *testing.T) {
	drafts := make(map[string]*operator.Draft)
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		var lines []string
		switch d.Cmd {
		case "check":
			draft := parseDraft(t, d.Input)
			for _, f := range draft.Check() {
				lines = append(lines, f.String())
			}
			if again := draft.Check(); len(again) != len(lines) {
				t.Fatalf("second check: %v", again)
			}
		case "version":
			var name string
			d.ScanArgs(t, "name", &name)
			drafts[name] = parseDraft(t, d.Input)
		case "diff":
			lines = drafts[d.CmdArgs[1].Key].Diff(drafts[d.CmdArgs[0].Key])
		default:
			t.Fatalf("unknown command %q", d.Cmd)
		}
		if len(lines) == 0 {
			return "none\n"
		}
		return strings.Join(lines, "\n") + "\n"
	})
}

// draftLine is a line of a script: words, and values by name.
type draftLine struct {
	t      *testing.T
	words  []string
	values map[string]string
}

func parseDraftLine(t *testing.T, text string) draftLine {
	l := draftLine{t: t, values: make(map[string]string)}
	for _, word := range strings.Fields(text) {
		if name, value, ok := strings.Cut(word, "="); ok {
			l.values[name] = value
			continue
		}
		if word == "-" {
			word = ""
		}
		l.words = append(l.words, word)
	}
	return l
}

// number returns a value, or a default if the line does not have it.
func (l draftLine) number(name string, otherwise float64) float64 {
	text, ok := l.values[name]
	if !ok {
		return otherwise
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		l.t.Fatal(err)
	}
	return n
}

func (l draftLine) seconds(name string) time.Duration {
	return time.Duration(l.number(name, 0) * float64(time.Second))
}

// list returns the parts of a value that are separated by commas.
func (l draftLine) list(name string) []string {
	text, ok := l.values[name]
	if !ok {
		return nil
	}
	return strings.Split(text, ",")
}

func parseDraft(t *testing.T, script string) *operator.Draft {
	draft := operator.NewDraft(0, operator.NewPosition(0, 1))
	for i, text := range strings.Split(script, "\n") {
		l, at := parseDraftLine(t, text), operator.NewPosition(i+1, 1)
		switch l.words[0] {
		case "version":
			n, err := strconv.ParseUint(l.words[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			draft = operator.NewDraft(n, at)
		case "quota":
			draft.SetQuota(customer.NewRateBound(l.seconds("window"), l.number("over", 0), l.number("slack", 0)), int(l.number("centres", 0)))
		case "undecoded":
			draft.AddError(at, "undecoded")
		case "ignored":
			draft.AddWarning(at, "ignored")
		case "route":
			draft.AddRoute(at, l.route(), int(l.number("header", 0)))
		case "service":
			draft.AddService(at, operator.NewService(l.words[1], l.values["health"], int(l.number("connections", 0))).
				WithWarmup(l.seconds("warmup"), l.number("warmup-rate", 0)))
		case "customer":
			var keys []operator.KeyDigest
			for _, key := range l.list("keys") {
				keys = append(keys, operator.DigestKey(key))
			}
			draft.AddCustomer(at, operator.NewCustomer(l.words[1], keys, int(l.number("priority", 0)), l.number("rate", 0), l.number("burst", 0)),
				int(l.number("header", 0)))
		case "limits":
			draft.SetLimits(at, operator.NewLimits(int64(l.number("header", 0)), int64(l.number("body", 0)),
				l.seconds("header-timeout"), l.seconds("idle-timeout")))
		default:
			t.Fatalf("unknown line %q", text)
		}
	}
	return draft
}

// routeKinds are the kinds of routes in scripts.
var routeKinds = map[string]operator.RouteKind{"": operator.Idempotent, "once": operator.AtMostOnce, "upload": operator.Upload}

// route returns the route of a line: its name, host, prefix and values.
func (l draftLine) route() operator.Route {
	var targets []operator.Target
	for _, item := range l.list("to") {
		service, weight, _ := strings.Cut(item, "*")
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil {
			w = 1
		}
		targets = append(targets, operator.NewTarget(service, w))
	}
	return operator.NewRoute(l.words[1], l.words[2], l.words[3], routeKinds[l.values["kind"]], targets...).
		WithTimes(l.seconds("timeout"), l.seconds("objective")).
		WithMaxAttempts(int(l.number("attempts", 1))).
		WithPriority(int(l.number("priority", 0))).
		WithAnonymousAccess(l.values["anonymous"] == "yes")
}

func ExampleDraft_Check() {
	d := operator.NewDraft(2, operator.NewPosition(1, 1))
	d.AddService(operator.NewPosition(2, 3), operator.NewService("documents", "/health", 120))
	for _, f := range d.Check() {
		fmt.Println(f)
	}
	// Output: 2:3: warning: service "documents" gets no requests: no route uses it
}
