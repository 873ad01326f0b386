package emulate

import (
	"fmt"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/yaml"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// ReadPlan parses and validates the text of a plan. path is used in error messages only.
func ReadPlan(path string, text []byte) (*schema.Emulation, error) {
	p := &schema.Emulation{}
	if err := yaml.Unmarshal(path, text, p, validatePlan); err != nil {
		return nil, fmt.Errorf("read plan: %w", err)
	}
	return p, nil
}

func validatePlan(p *schema.Emulation) error {
	var ps platform.Problems
	services, classes := make(map[string]bool), make(map[string]bool)
	for i, s := range p.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		services[s.GetName()] = true
		if len(s.GetServers()) != len(p.GetCentres()) {
			ps.Add(path+".servers", "must have a number for each of the %d data centres", len(p.GetCentres()))
		}
		if s.GetSlots() == 0 || len(s.GetSpeeds()) == 0 {
			ps.Add(path+".slots", "needs slots and speeds above 0")
		}
	}
	for _, c := range p.GetClasses() {
		classes[c.GetName()] = true
	}
	for i, c := range p.GetClasses() {
		path := fmt.Sprintf("classes[%d]", i)
		if !services[c.GetService()] {
			ps.Add(path+".service", "there is no service %q", c.GetService())
		}
		for k, call := range c.GetCalls() {
			if !classes[call.GetClass()] {
				ps.Add(fmt.Sprintf("%s.calls[%d].class", path, k), "there is no class %q", call.GetClass())
			}
		}
	}
	if len(ps) > 0 {
		return ps
	}
	return nil
}
