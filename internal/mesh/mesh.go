package mesh

import (
	"bytes"
	"cmp"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/authority"
	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/callerhttp"
	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/platformhttp"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/standin"
)

const (
	// unreachableAddress refuses connections.
	unreachableAddress = "127.0.0.1:1"
	// platformPort is the first port of a mesh. Its ports lie below those of outgoing
	// connections.
	platformPort = 28_500
	// maxHostAttempts is how many loopback addresses are tried for a mesh.
	maxHostAttempts = 20
	pollInterval    = 10 * time.Millisecond
	stopTimeout     = 5 * time.Second
)

// ErrNotReady is returned if a daemon is not ready, or serves an older version, when the
// timeout expires.
var ErrNotReady = eris.New("timed out; the daemon is not ready or serves an older version")

// Mesh is a stand-in platform and the slots of a mesh. All of them listen on one loopback
// address, which other meshes do not use while the platform listens on its port there.
type Mesh struct {
	host            string
	lastPort        int
	signer          ed25519.PrivateKey
	authority       authority.KeyPair
	platform        *standin.Platform
	platformAddress string
	stopPlatform    func()
	slots           []*Slot
	policies        *schema.Policies
	isolatedCentre  string
	settleTimeout   time.Duration
	logOutput       *syncBuffer
}

// New returns a mesh without slots, whose platform answers at most maxCallRate calls per
// second, or any number if it is 0.
func New(maxCallRate int) (*Mesh, error) {
	pair, err := authority.New()
	if err != nil {
		return nil, fmt.Errorf("create mesh: %w", err)
	}
	_, signer, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create mesh: %w", err)
	}
	m := &Mesh{
		signer:        signer,
		authority:     pair,
		platform:      standin.NewPlatform(maxCallRate, 0),
		settleTimeout: time.Second,
		logOutput:     &syncBuffer{},
	}
	for range maxHostAttempts {
		m.host = fmt.Sprintf("127.%d.%d.%d", 1+mrand.IntN(254), mrand.IntN(256), 1+mrand.IntN(254))
		m.lastPort = platformPort
		m.platformAddress, m.stopPlatform, err = standin.Serve(net.JoinHostPort(m.host, strconv.Itoa(m.lastPort)), m.platform)
		if err == nil {
			return m, nil
		}
	}
	return nil, fmt.Errorf("create mesh: %w", err)
}

// nextAddress returns an address that no other part of the mesh uses.
func (m *Mesh) nextAddress() string {
	m.lastPort++
	return net.JoinHostPort(m.host, strconv.Itoa(m.lastPort))
}

// SetPolicies sets the policies of the daemons that are started later.
func (m *Mesh) SetPolicies(p *schema.Policies) { m.policies = p }

// SetSettleTimeout sets how long the daemons that are started later wait for their peers.
func (m *Mesh) SetSettleTimeout(d time.Duration) { m.settleTimeout = d }

// IsolateFromPlatform makes the platform unreachable for the daemons of a data centre that
// are started later. Their settings list all slots as seeds.
func (m *Mesh) IsolateFromPlatform(centre string) { m.isolatedCentre = centre }

// Platform returns the stand-in platform.
func (m *Mesh) Platform() *standin.Platform { return m.platform }

// Slots returns the slots in the order in which they were added.
func (m *Mesh) Slots() []*Slot { return m.slots }

// Slot returns the slot with the given name, or nil if there is none.
func (m *Mesh) Slot(name string) *Slot {
	for _, s := range m.slots {
		if s.name == name {
			return s
		}
	}
	return nil
}

// LogOutput returns the log output of all daemons so far.
func (m *Mesh) LogOutput() string { return m.logOutput.String() }

// Close stops the daemons, the backend servers and the platform.
func (m *Mesh) Close() {
	for _, s := range m.slots {
		s.Kill()
		s.backend.Stop()
	}
	m.stopPlatform()
}

// Slot is a stand-in backend server together with its daemon. It is not one of the slots of
// standin.BackendModel, which are the requests that a backend server runs at once.
type Slot struct {
	mesh                  *Mesh
	name, service, centre string
	// The daemon listens on callerAddress for callers, on localAddress for its backend
	// server and on peerAddress for other daemons.
	callerAddress, localAddress, peerAddress, backendAddress string
	// listedPeerAddress is the address for other daemons in the instance list, or empty for
	// peerAddress.
	listedPeerAddress string

	backend *standin.Backend
	daemon  *daemon.Daemon
	servers []http1.Server
}

// Name returns the name of the slot.
func (s *Slot) Name() string { return s.name }

// Service returns the service of the backend server.
func (s *Slot) Service() string { return s.service }

// Centre returns the data centre of the slot.
func (s *Slot) Centre() string { return s.centre }

// CallerAddress returns the address on which the daemon accepts requests from callers.
func (s *Slot) CallerAddress() string { return s.callerAddress }

// Backend returns the stand-in backend server.
func (s *Slot) Backend() *standin.Backend { return s.backend }

// BackendAddress returns the address of the backend server.
func (s *Slot) BackendAddress() string { return s.backendAddress }

// PeerAddress returns the address on which the daemon serves other daemons.
func (s *Slot) PeerAddress() string { return s.peerAddress }

// SetListedPeerAddress sets the address for other daemons in the instance lists that are
// published later. A daemon uses it until it hears from the slot's daemon itself.
func (s *Slot) SetListedPeerAddress(address string) { s.listedPeerAddress = address }

// Daemon returns the daemon, or nil if it is stopped.
func (s *Slot) Daemon() *daemon.Daemon { return s.daemon }

// AddSlot adds a slot and starts its backend server, but not its daemon.
func (m *Mesh) AddSlot(name, service, centre string, model standin.BackendModel) (*Slot, error) {
	s := &Slot{mesh: m, name: name, service: service, centre: centre}
	for _, field := range []*string{&s.callerAddress, &s.localAddress, &s.peerAddress} {
		*field = m.nextAddress()
	}
	s.backend = standin.NewBackend(model.WithLocalDaemon(s.localAddress))
	address, err := s.backend.Start(m.nextAddress())
	if err != nil {
		return nil, fmt.Errorf("add slot: %w", err)
	}
	s.backendAddress = address
	m.slots = append(m.slots, s)
	return s, nil
}

// Publish signs a bundle and publishes it.
func (m *Mesh) Publish(b *schema.Bundle) error {
	r, err := bundle.Sign(b, m.signer)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	return m.PublishRelease(r)
}

// PublishRelease publishes a signed bundle: its parts first, then the manifest, which
// refers to them.
func (m *Mesh) PublishRelease(r bundle.Release) error {
	for i, p := range r.Manifest().Parts() {
		m.platform.Put(platformhttp.PartPrefix+p.Digest().String(), r.Blobs()[i])
	}
	manifest, err := bundle.EncodeManifest(r.Manifest())
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	m.platform.Put(platformhttp.ManifestKey, manifest)
	return nil
}

// PublishInstances publishes an instance list with all slots.
func (m *Mesh) PublishInstances() {
	list := &schema.Instances{}
	for _, s := range m.slots {
		list.SetInstances(append(list.GetInstances(), schema.Instance_builder{
			Name:    proto.String(s.name),
			Service: proto.String(s.service),
			Centre:  proto.String(s.centre),
			Peer:    proto.String(cmp.Or(s.listedPeerAddress, s.peerAddress)),
			Caller:  proto.String(s.callerAddress),
		}.Build()))
	}
	m.platform.PutInstances(list)
}

func (s *Slot) settings() *schema.Settings {
	m := s.mesh
	return schema.Settings_builder{
		Name:    proto.String(s.name),
		Service: proto.String(s.service),
		Centre:  proto.String(s.centre),
		Listen: schema.Listen_builder{
			Caller: proto.String(s.callerAddress),
			Local:  proto.String(s.localAddress),
			Peer:   proto.String(s.peerAddress),
		}.Build(),
		Backend:  proto.String(s.backendAddress),
		Platform: s.platformSettings(),
		Signers:  []string{hex.EncodeToString(m.signer.Public().(ed25519.PublicKey))},
		Policies: m.policies,
	}.Build()
}

// platformSettings returns the part of the settings that describes the platform. In the
// isolated data centre, the platform's address is unreachable and all slots are seeds.
func (s *Slot) platformSettings() *schema.Platform {
	m := s.mesh
	p := schema.Platform_builder{
		Addresses: []string{m.platformAddress},
		Fleet:     proto.Uint32(uint32(len(m.slots))),
		Settle:    durationpb.New(m.settleTimeout),
	}.Build()
	if s.centre != m.isolatedCentre {
		return p
	}
	p.SetAddresses([]string{unreachableAddress})
	for _, slot := range m.slots {
		p.SetSeeds(append(p.GetSeeds(), schema.Seed_builder{
			Name: proto.String(slot.name),
			Peer: proto.String(slot.peerAddress),
		}.Build()))
	}
	return p
}

// Start starts the daemon, for the first time or after it was stopped.
func (s *Slot) Start() error {
	pair, err := authority.Issue(s.mesh.authority, s.name)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	id, err := peerquic.NewIdentity(s.mesh.authority.Certificate(), pair.Certificate(), pair.Key())
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: s.mesh.logOutput, JSONFormat: true}).With("slot", s.name)
	d, err := daemon.New(s.settings(), id, log)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	s.daemon = d
	onPanic := func(value any, stack []byte) { log.Error("panic", "value", fmt.Sprint(value), "stack", string(stack)) }
	callers, err := http1.ListenPipelined(s.callerAddress, callerhttp.NewHandler(d), onPanic, nil)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	local, err := http1.ListenPipelined(s.localAddress, callerhttp.NewLocalHandler(d), onPanic, nil)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	s.servers = []http1.Server{callers, local}
	d.Start()
	return nil
}

// Kill stops the daemon at once, without draining it.
func (s *Slot) Kill() {
	if s.daemon == nil {
		return
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, server := range s.servers {
		_ = server.Shutdown(cancelled)
	}
	_ = s.daemon.Close()
	s.daemon = nil
}

// Stop stops the daemon as at a signal.
func (s *Slot) Stop() error {
	err := s.daemon.Stop(stopTimeout, s.servers)
	s.daemon = nil
	return err
}

// StartAll publishes the instance list and starts all daemons.
func (m *Mesh) StartAll() error {
	m.PublishInstances()
	for _, s := range m.slots {
		if err := s.Start(); err != nil {
			return err
		}
	}
	return nil
}

// WaitForVersion waits until all running daemons serve the given version or a later one. It
// returns ErrNotReady if the timeout expires first.
func (m *Mesh) WaitForVersion(version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, s := range m.slots {
		for s.daemon != nil && (!s.daemon.Ready() || s.daemon.Status().GetVersion() < version) {
			if time.Now().After(deadline) {
				return fmt.Errorf("wait for version %d at %s: %w", version, s.name, ErrNotReady)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// syncBuffer is a buffer for concurrent writers.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the content of the buffer.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
