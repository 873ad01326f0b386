package load

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/yaml"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

const defaultDeadline = 5 * time.Second

// ReadPlan reads and validates the plan at path.
func ReadPlan(path string) (*schema.Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read plan: %w", err)
	}
	p := &schema.Plan{}
	if err := yaml.Unmarshal(path, text, p, validatePlan); err != nil {
		return nil, fmt.Errorf("read plan: %w", err)
	}
	return p, nil
}

func validatePlan(p *schema.Plan) error {
	var ps platform.Problems
	if len(p.GetTargets()) == 0 {
		ps.Add("targets", "must name at least one daemon")
	}
	for i, a := range p.GetTargets() {
		if _, err := netip.ParseAddrPort(a); err != nil {
			ps.Add(fmt.Sprintf("targets[%d]", i), "%q is not an IP address and port", a)
		}
	}
	if p.GetDuration().AsDuration() <= 0 {
		ps.Add("duration", "must be above 0")
	}
	for i, s := range p.GetStreams() {
		if s.GetRate() <= 0 {
			ps.Add(fmt.Sprintf("streams[%d].rate", i), "must be above 0")
		}
		if s.GetPath() == "" || s.GetPath()[0] != '/' {
			ps.Add(fmt.Sprintf("streams[%d].path", i), "must start with a slash")
		}
	}
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func planDeadline(p *schema.Plan) time.Duration {
	if p.HasDeadline() {
		return p.GetDeadline().AsDuration()
	}
	return defaultDeadline
}

func streamMethod(s *schema.Stream) string {
	if s.GetMethod() == "" {
		return http.MethodGet
	}
	return s.GetMethod()
}
