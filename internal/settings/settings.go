package settings

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/yaml"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// The defaults.
const (
	defaultSettle = 3 * time.Second
	defaultStop   = 10 * time.Second
	// defaultCalls is half of what the platform answers in a second.
	defaultCalls = 1000
	defaultLevel = "info"
)

// The values of the policies.
const (
	RoutingLoad   = "load"
	RoutingRandom = "random"
	GateAdaptive  = "adaptive"
	GateOpen      = "open"
	LimitsShared  = "shared"
	LimitsStatic  = "static"
	FeedPeers     = "peers"
	FeedPlatform  = "platform"
)

// Load reads and checks the settings file at path.
func Load(path string) (*schema.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks settings; path is for the errors alone.
func Parse(path string, text []byte) (*schema.Settings, error) {
	s := &schema.Settings{}
	if err := yaml.Unmarshal(path, text, s, check); err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	return s, nil
}

// SettleTimeout returns the bound of the wait for peers at the start.
func SettleTimeout(s *schema.Settings) time.Duration {
	if s.GetPlatform().HasSettle() {
		return s.GetPlatform().GetSettle().AsDuration()
	}
	return defaultSettle
}

// ShutdownTimeout returns the bound of a planned stop.
func ShutdownTimeout(s *schema.Settings) time.Duration {
	if s.GetStop().HasBound() {
		return s.GetStop().GetBound().AsDuration()
	}
	return defaultStop
}

// PlatformCallRate returns the fleet's share of the platform's calls per second.
func PlatformCallRate(s *schema.Settings) float64 {
	if s.GetPlatform().HasCalls() {
		return s.GetPlatform().GetCalls()
	}
	return defaultCalls
}

// LogLevel returns the log level.
func LogLevel(s *schema.Settings) string {
	if s.GetLog().HasLevel() {
		return s.GetLog().GetLevel()
	}
	return defaultLevel
}

// Signers returns the public keys whose sign-off counts.
func Signers(s *schema.Settings) ([]ed25519.PublicKey, error) {
	keys := make([]ed25519.PublicKey, 0, len(s.GetSigners()))
	for _, text := range s.GetSigners() {
		key, err := bundle.ParsePublicKey(text)
		if err != nil {
			return nil, fmt.Errorf("read signers: %w", err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// check lists the faults of settings by field.
func check(s *schema.Settings) error {
	var ps platform.Problems
	required(&ps, "name", s.GetName())
	required(&ps, "service", s.GetService())
	required(&ps, "centre", s.GetCentre())
	l := s.GetListen()
	address(&ps, "listen.caller", l.GetCaller())
	address(&ps, "listen.local", l.GetLocal())
	address(&ps, "listen.peer", l.GetPeer())
	address(&ps, "listen.admin", l.GetAdmin())
	address(&ps, "backend", s.GetBackend())
	checkPlatform(&ps, s.GetPlatform())
	required(&ps, "mesh.authority", s.GetMesh().GetAuthority())
	required(&ps, "mesh.certificate", s.GetMesh().GetCertificate())
	required(&ps, "mesh.key", s.GetMesh().GetKey())
	checkSigners(&ps, s)
	oneOf(&ps, "log.level", LogLevel(s), "trace", "debug", "info", "warn", "error")
	p := s.GetPolicies()
	oneOf(&ps, "policies.routing", p.GetRouting(), "", RoutingLoad, RoutingRandom)
	oneOf(&ps, "policies.gate", p.GetGate(), "", GateAdaptive, GateOpen)
	oneOf(&ps, "policies.limits", p.GetLimits(), "", LimitsShared, LimitsStatic)
	oneOf(&ps, "policies.feed", p.GetFeed(), "", FeedPeers, FeedPlatform)
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func checkPlatform(ps *platform.Problems, p *schema.Platform) {
	for i, a := range p.GetAddresses() {
		address(ps, fmt.Sprintf("platform.addresses[%d]", i), a)
	}
	for i, seed := range p.GetSeeds() {
		required(ps, fmt.Sprintf("platform.seeds[%d].name", i), seed.GetName())
		address(ps, fmt.Sprintf("platform.seeds[%d].peer", i), seed.GetPeer())
	}
	if len(p.GetAddresses()) == 0 {
		ps.Add("platform.addresses", "names no address")
	}
	if p.HasCalls() && p.GetCalls() <= 0 {
		ps.Add("platform.calls", "must be above 0")
	}
	if p.GetFleet() == 0 {
		ps.Add("platform.fleet", "must be the number of daemons that share the calls")
	}
}

func checkSigners(ps *platform.Problems, s *schema.Settings) {
	if len(s.GetSigners()) == 0 {
		ps.Add("signers", "names no key whose sign-off counts")
	}
	for i, text := range s.GetSigners() {
		if _, err := bundle.ParsePublicKey(text); err != nil {
			ps.Add(fmt.Sprintf("signers[%d]", i), "%v", err)
		}
	}
}

func required(ps *platform.Problems, path, value string) {
	if value == "" {
		ps.Add(path, "is missing")
	}
}

func address(ps *platform.Problems, path, value string) {
	if value == "" {
		ps.Add(path, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		ps.Add(path, "%q is not an IP number and a port", value)
	}
}

func oneOf(ps *platform.Problems, path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		ps.Add(path, "%q is none of %q", value, allowed)
	}
}

// ErrUnusableFile says that a file named in the settings cannot be used.
var ErrUnusableFile = eris.New("file named in the settings")
