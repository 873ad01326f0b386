package operator_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/operator"
)

// TestConfig builds configurations from scripts and looks up routes and customers
// in them. It also guards against negative limits, which would be taken as they are.
func TestConfig(t *testing.T) {
	var cfg *operator.Config
	datadriven.RunTest(t, "testdata/config", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "version":
			c, err := parseVersion(t, d.Input).Build()
			if err != nil {
				return strings.ReplaceAll(err.Error(), "; ", "\n") + "\n"
			}
			cfg = c
			return fmt.Sprintf("version %d: %d routes, %d customers\n", c.Version(), c.RouteCount(), c.CustomerCount())
		case "ask":
			return lookUp(t, cfg, d.Input)
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	})
}

func parseVersion(t *testing.T, script string) *operator.Builder {
	b := operator.NewBuilder(0)
	for line := range strings.SplitSeq(script, "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "version":
			n, err := strconv.ParseUint(f[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			b = operator.NewBuilder(n)
		case "service":
			b.AddService(operator.NewService(f[1], "/health", 10))
		case "warmup": // warmup service seconds rate
			b.AddService(operator.NewService(f[1], "/health", 10).WithWarmup(scriptSeconds(t, f[2]), scriptNumber(t, f[3])))
		case "timed": // timed route timeout objective
			b.AddRoute(operator.NewRoute(f[1], "docs.example", "/"+f[1]+"/", operator.Idempotent, operator.NewTarget("a", 1)).
				WithTimes(scriptSeconds(t, f[2]), scriptSeconds(t, f[3])))
		case "limited": // limited customer rate burst
			b.AddCustomer(operator.NewCustomer(f[1], nil, 0, scriptNumber(t, f[2]), scriptNumber(t, f[3])))
		case "limits": // limits header-bytes body-bytes header-timeout idle-timeout
			b.SetLimits(operator.NewLimits(int64(scriptNumber(t, f[1])), int64(scriptNumber(t, f[2])), scriptSeconds(t, f[3]), scriptSeconds(t, f[4])))
		case "route":
			var targets []operator.Target
			for _, name := range f[4:] {
				service, weight, _ := strings.Cut(name, "*")
				w, err := strconv.ParseFloat(weight, 64)
				if err != nil {
					w = 1
				}
				targets = append(targets, operator.NewTarget(service, w))
			}
			b.AddRoute(operator.NewRoute(f[1], f[2], f[3], operator.AtMostOnce, targets...).WithTimes(time.Second, 0))
		case "customer":
			var keys []operator.KeyDigest
			for _, key := range f[2:] {
				keys = append(keys, operator.DigestKey(key))
			}
			b.AddCustomer(operator.NewCustomer(f[1], keys, 0, 10, 5))
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return b
}

func scriptNumber(t *testing.T, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func scriptSeconds(t *testing.T, text string) time.Duration {
	return time.Duration(scriptNumber(t, text) * float64(time.Second))
}

func lookUp(t *testing.T, cfg *operator.Config, script string) string {
	var out strings.Builder
	for line := range strings.SplitSeq(script, "\n") {
		f := strings.Fields(line)
		result := "none"
		switch f[0] {
		case "route":
			if r, ok := cfg.Route(f[1], f[2]); ok {
				result = r.Name()
			}
		case "owner":
			if c, ok := cfg.CustomerByKey(operator.DigestKey(f[1])); ok {
				result = c.Name()
			}
		case "choose":
			r, _ := cfg.Route(f[1], f[2])
			random, err := strconv.ParseFloat(f[3], 64)
			if err != nil {
				t.Fatal(err)
			}
			result = r.ChooseService(random)
		}
		fmt.Fprintf(&out, "%s: %s\n", line, result)
	}
	return out.String()
}

func ExampleConfig_Route() {
	b := operator.NewBuilder(1)
	b.AddService(operator.NewService("documents", "/health", 120))
	b.AddRoute(operator.NewRoute("read", "docs.example", "/docs/", operator.Idempotent, operator.NewTarget("documents", 1)))
	cfg, _ := b.Build()
	r, ok := cfg.Route("docs.example:80", "/docs/sheets/7")
	fmt.Println(r.Name(), ok, r.AtMostOnce())
	// Output: read true false
}
