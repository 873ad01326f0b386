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

// Defaults of optional settings.
const (
	defaultSettleTimeout   = 3 * time.Second
	defaultShutdownTimeout = 10 * time.Second
	// defaultPlatformCallRate is half of the calls per second that the platform
	// answers.
	defaultPlatformCallRate = 1000
	defaultLogLevel         = "info"
)

// Values of the settings under policies.
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

// Load reads, parses and validates the settings file at path.
func Load(path string) (*schema.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a settings file. path is used in error
// messages only.
func Parse(path string, text []byte) (*schema.Settings, error) {
	s := &schema.Settings{}
	if err := yaml.Unmarshal(path, text, s, validate); err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	return s, nil
}

// SettleTimeout returns how long the daemon waits for its peers at startup.
func SettleTimeout(s *schema.Settings) time.Duration {
	if s.GetPlatform().HasSettle() {
		return s.GetPlatform().GetSettle().AsDuration()
	}
	return defaultSettleTimeout
}

// ShutdownTimeout returns the time limit of a graceful shutdown.
func ShutdownTimeout(s *schema.Settings) time.Duration {
	if s.GetStop().HasBound() {
		return s.GetStop().GetBound().AsDuration()
	}
	return defaultShutdownTimeout
}

// PlatformCallRate returns how many calls per second the whole fleet may make to
// the platform.
func PlatformCallRate(s *schema.Settings) float64 {
	if s.GetPlatform().HasCalls() {
		return s.GetPlatform().GetCalls()
	}
	return defaultPlatformCallRate
}

// LogLevel returns the log level.
func LogLevel(s *schema.Settings) string {
	if s.GetLog().HasLevel() {
		return s.GetLog().GetLevel()
	}
	return defaultLogLevel
}

// Signers returns the public keys that are trusted to sign bundles.
func Signers(s *schema.Settings) ([]ed25519.PublicKey, error) {
	keys := make([]ed25519.PublicKey, 0, len(s.GetSigners()))
	for _, text := range s.GetSigners() {
		key, err := bundle.ParsePublicKey(text)
		if err != nil {
			return nil, fmt.Errorf("parse signers: %w", err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// validate returns all faults of the settings as platform.Problems, each with the
// path of its field.
func validate(s *schema.Settings) error {
	var ps platform.Problems
	requireValue(&ps, "name", s.GetName())
	requireValue(&ps, "service", s.GetService())
	requireValue(&ps, "centre", s.GetCentre())
	l := s.GetListen()
	requireAddress(&ps, "listen.caller", l.GetCaller())
	requireAddress(&ps, "listen.local", l.GetLocal())
	requireAddress(&ps, "listen.peer", l.GetPeer())
	requireAddress(&ps, "listen.admin", l.GetAdmin())
	requireAddress(&ps, "backend", s.GetBackend())
	validatePlatform(&ps, s.GetPlatform())
	rejectNegative(&ps, "stop.bound", s.GetStop().GetBound().AsDuration())
	requireValue(&ps, "mesh.authority", s.GetMesh().GetAuthority())
	requireValue(&ps, "mesh.certificate", s.GetMesh().GetCertificate())
	requireValue(&ps, "mesh.key", s.GetMesh().GetKey())
	validateSigners(&ps, s)
	requireOneOf(&ps, "log.level", LogLevel(s), "trace", "debug", "info", "warn", "error")
	p := s.GetPolicies()
	requireOneOf(&ps, "policies.routing", p.GetRouting(), "", RoutingLoad, RoutingRandom)
	requireOneOf(&ps, "policies.gate", p.GetGate(), "", GateAdaptive, GateOpen)
	requireOneOf(&ps, "policies.limits", p.GetLimits(), "", LimitsShared, LimitsStatic)
	requireOneOf(&ps, "policies.feed", p.GetFeed(), "", FeedPeers, FeedPlatform)
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func validatePlatform(ps *platform.Problems, p *schema.Platform) {
	for i, a := range p.GetAddresses() {
		requireAddress(ps, fmt.Sprintf("platform.addresses[%d]", i), a)
	}
	for i, seed := range p.GetSeeds() {
		requireValue(ps, fmt.Sprintf("platform.seeds[%d].name", i), seed.GetName())
		requireAddress(ps, fmt.Sprintf("platform.seeds[%d].peer", i), seed.GetPeer())
	}
	if len(p.GetAddresses()) == 0 {
		ps.Add("platform.addresses", "must list at least one address")
	}
	if p.HasCalls() && p.GetCalls() <= 0 {
		ps.Add("platform.calls", "must be above 0")
	}
	rejectNegative(ps, "platform.settle", p.GetSettle().AsDuration())
	if p.GetFleet() == 0 {
		ps.Add("platform.fleet", "must be the number of daemons that share the call rate")
	}
}

func validateSigners(ps *platform.Problems, s *schema.Settings) {
	if len(s.GetSigners()) == 0 {
		ps.Add("signers", "must list at least one public key")
	}
	for i, text := range s.GetSigners() {
		if _, err := bundle.ParsePublicKey(text); err != nil {
			ps.Add(fmt.Sprintf("signers[%d]", i), "%v", err)
		}
	}
}

func requireValue(ps *platform.Problems, path, value string) {
	if value == "" {
		ps.Add(path, "is missing")
	}
}

// rejectNegative rejects a negative time limit, which would have passed before it begins.
func rejectNegative(ps *platform.Problems, path string, limit time.Duration) {
	if limit < 0 {
		ps.Add(path, "must not be negative")
	}
}

func requireAddress(ps *platform.Problems, path, value string) {
	if value == "" {
		ps.Add(path, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		ps.Add(path, "%q is not an IP address and port", value)
	}
}

func requireOneOf(ps *platform.Problems, path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		ps.Add(path, "%q is not one of %q", value, allowed)
	}
}

// ErrUnusableFile reports that a file named in the settings cannot be read or has
// invalid content.
var ErrUnusableFile = eris.New("cannot use a file named in the settings")
