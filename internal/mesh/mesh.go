package mesh

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"net/netip"
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
	host       = "127.0.0.1"
	anyPort    = host + ":0"
	nowhere    = host + ":1"
	portFirst  = 10_000
	portLast   = 30_000
	portTries  = 100
	readyCheck = 10 * time.Millisecond
	stopBound  = 5 * time.Second
)

var (
	// ErrNotReady says that daemons did not come to the state waited for.
	ErrNotReady = eris.New("daemons are not there yet")
	errPort     = eris.New("no free port")
)

// Mesh is a platform and slots. Make one with New.
type Mesh struct {
	signer    ed25519.PrivateKey
	authority authority.KeyPair
	platform  *standin.Platform
	address   string
	stop      func()
	slots     []*Slot
	policies  *schema.Policies
	cut       string
	settle    time.Duration
	log       *safeBuffer
}

// New returns a mesh without slots; its platform answers calls a second.
func New(calls int) (*Mesh, error) {
	pair, err := authority.New()
	if err != nil {
		return nil, fmt.Errorf("make mesh: %w", err)
	}
	_, signer, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make mesh: %w", err)
	}
	m := &Mesh{
		signer:    signer,
		authority: pair,
		platform:  standin.NewPlatform(calls, 0),
		settle:    time.Second,
		log:       &safeBuffer{},
	}
	m.address, m.stop, err = standin.Serve(anyPort, m.platform)
	if err != nil {
		return nil, fmt.Errorf("make mesh: %w", err)
	}
	return m, nil
}

// SetPolicies sets the policies of the daemons that start from now on.
func (m *Mesh) SetPolicies(p *schema.Policies) { m.policies = p }

// Cut keeps the platform from the daemons of a data centre that start from now
// on; they know the other slots from their settings.
func (m *Mesh) Cut(centre string) { m.cut = centre }

// Platform returns the stand-in platform.
func (m *Mesh) Platform() *standin.Platform { return m.platform }

// Slots returns the slots in the order that they were added.
func (m *Mesh) Slots() []*Slot { return m.slots }

// Slot returns the slot of the given name, or nil.
func (m *Mesh) Slot(name string) *Slot {
	for _, s := range m.slots {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Log returns all that the daemons have logged.
func (m *Mesh) Log() string { return m.log.String() }

// Close ends all that the mesh started.
func (m *Mesh) Close() {
	for _, s := range m.slots {
		s.Kill()
		s.backend.Stop()
	}
	m.stop()
}

// Slot is a backend server with its daemon.
type Slot struct {
	mesh                      *Mesh
	name, service, centre     string
	caller, local, peer, host string
	backend                   *standin.Backend
	daemon                    *daemon.Daemon
	servers                   []*http1.Server
}

// Name returns the slot's name.
func (s *Slot) Name() string { return s.name }

// Service returns the slot's service.
func (s *Slot) Service() string { return s.service }

// Centre returns the slot's data centre.
func (s *Slot) Centre() string { return s.centre }

// Caller returns the address for callers.
func (s *Slot) Caller() string { return s.caller }

// Backend returns the stand-in backend server.
func (s *Slot) Backend() *standin.Backend { return s.backend }

// Host returns the backend server's address.
func (s *Slot) Host() string { return s.host }

// Daemon returns the daemon, or nil while it is down.
func (s *Slot) Daemon() *daemon.Daemon { return s.daemon }

// Add adds a slot and starts its backend server, but not its daemon.
func (m *Mesh) Add(name, service, centre string, model standin.Model) (*Slot, error) {
	s := &Slot{mesh: m, name: name, service: service, centre: centre}
	for _, port := range []*string{&s.caller, &s.local, &s.peer} {
		address, err := freePort()
		if err != nil {
			return nil, fmt.Errorf("add slot: %w", err)
		}
		*port = address
	}
	s.backend = standin.NewBackend(model.Local(s.local))
	host, err := s.backend.Start(anyPort)
	if err != nil {
		return nil, fmt.Errorf("add slot: %w", err)
	}
	s.host = host
	m.slots = append(m.slots, s)
	return s, nil
}

// freePort returns an address whose port is free for TCP and UDP. It keeps below
// the ports that the machine gives to outgoing connections, which could take it
// before it is used.
func freePort() (string, error) {
	for range portTries {
		port := uint16(portFirst + mrand.IntN(portLast-portFirst))
		at := netip.AddrPortFrom(netip.MustParseAddr(host), port)
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			continue
		}
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return at.String(), nil
		}
	}
	return "", errPort
}

// Publish signs a bundle off and publishes it.
func (m *Mesh) Publish(b *schema.Bundle) error {
	r, err := bundle.Sign(b, m.signer)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	return m.PublishRelease(r)
}

// PublishRelease publishes a signed bundle.
func (m *Mesh) PublishRelease(r bundle.Release) error {
	for i, p := range r.Manifest().Parts() {
		m.platform.Put(platformhttp.PartPrefix+p.Digest().String(), r.Blobs()[i])
	}
	head, err := bundle.EncodeManifest(r.Manifest())
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	m.platform.Put(platformhttp.HeadKey, head)
	return nil
}

// PublishInstances publishes the list of all slots.
func (m *Mesh) PublishInstances() {
	list := &schema.Instances{}
	for _, s := range m.slots {
		list.SetInstances(append(list.GetInstances(), schema.Instance_builder{
			Name:    proto.String(s.name),
			Service: proto.String(s.service),
			Centre:  proto.String(s.centre),
			Peer:    proto.String(s.peer),
			Caller:  proto.String(s.caller),
		}.Build()))
	}
	m.platform.PutInstances(list)
}

// settings returns the settings of a slot's daemon.
func (s *Slot) settings() *schema.Settings {
	m := s.mesh
	return schema.Settings_builder{
		Name:    proto.String(s.name),
		Service: proto.String(s.service),
		Centre:  proto.String(s.centre),
		Listen: schema.Listen_builder{
			Caller: proto.String(s.caller),
			Local:  proto.String(s.local),
			Peer:   proto.String(s.peer),
		}.Build(),
		Backend:  proto.String(s.host),
		Platform: s.platform(),
		Signers:  []string{hex.EncodeToString(m.signer.Public().(ed25519.PublicKey))},
		Policies: m.policies,
	}.Build()
}

// platform returns how the slot's daemon reaches the platform.
func (s *Slot) platform() *schema.Platform {
	m := s.mesh
	p := schema.Platform_builder{
		Addresses: []string{m.address},
		Fleet:     proto.Uint32(uint32(len(m.slots))),
		Settle:    durationpb.New(m.settle),
	}.Build()
	if s.centre != m.cut {
		return p
	}
	p.SetAddresses([]string{nowhere})
	for _, other := range m.slots {
		p.SetSeeds(append(p.GetSeeds(), schema.Seed_builder{
			Name: proto.String(other.name),
			Peer: proto.String(other.peer),
		}.Build()))
	}
	return p
}

// Start starts the slot's daemon, or starts it again.
func (s *Slot) Start() error {
	pair, err := authority.Issue(s.mesh.authority, s.name)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	id, err := peerquic.NewIdentity(s.mesh.authority.Certificate(), pair.Certificate(), pair.Key())
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: s.mesh.log, JSONFormat: true}).With("slot", s.name)
	d, err := daemon.New(s.settings(), id, log)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	s.daemon = d
	callers, err := http1.Listen("caller", s.caller, callerhttp.NewHandler(d))
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	local, err := http1.Listen("local", s.local, callerhttp.NewLocalHandler(d))
	if err != nil {
		return fmt.Errorf("start %s: %w", s.name, err)
	}
	s.servers = []*http1.Server{callers, local}
	d.Start()
	return nil
}

// Kill ends the slot's daemon without grace.
func (s *Slot) Kill() {
	if s.daemon == nil {
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, server := range s.servers {
		_ = server.Shutdown(ended)
	}
	_ = s.daemon.Close()
	s.daemon = nil
}

// Stop ends the slot's daemon as a planned stop does.
func (s *Slot) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	err := s.daemon.Drain(ctx)
	for _, server := range s.servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	err = errors.Join(err, s.daemon.Close())
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

// Await waits until all running daemons serve a version or a higher one.
func (m *Mesh) Await(number uint64, within time.Duration) error {
	end := time.Now().Add(within)
	for _, s := range m.slots {
		for s.daemon != nil && (!s.daemon.Ready() || s.daemon.Status().GetVersion() < number) {
			if time.Now().After(end) {
				return fmt.Errorf("%s, version %d: %w", s.name, number, ErrNotReady)
			}
			time.Sleep(readyCheck)
		}
	}
	return nil
}

// safeBuffer is a buffer that several daemons log to.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all that was written.
func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
