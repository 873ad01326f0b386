package bundle

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

const (
	// entriesPerPart is the aim for the size of a part.
	entriesPerPart = 8
	// partsMost bounds the parts of a version.
	partsMost = 128
	// MaxValueBytes is the largest value in bytes that the platform holds.
	MaxValueBytes = 1 << 20
)

// Codec decodes parts to a checked configuration.
type Codec struct{}

// Decode implements platform.Codec.
func (Codec) Decode(number uint64, parts [][]byte) (*platform.Config, error) {
	whole := &schema.Bundle{}
	for _, data := range parts {
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(data, whole); err != nil {
			return nil, fmt.Errorf("decode part: %w", err)
		}
	}
	whole.SetVersion(number)
	cfg, err := ToBuilder(whole).Build()
	if err != nil {
		return nil, fmt.Errorf("check content: %w", err)
	}
	return cfg, nil
}

// Split encodes a bundle as parts with their content, in the parts' order.
func Split(b *schema.Bundle) ([]platform.Part, [][]byte, error) {
	n := buckets(len(b.GetCentres()) + len(b.GetBackends()) + len(b.GetRoutes()) + len(b.GetCustomers()))
	pieces := make([]*schema.Bundle, n)
	for i := range pieces {
		pieces[i] = &schema.Bundle{}
	}
	at := func(kind, name string) *schema.Bundle {
		return pieces[xxhash.Sum64String(kind+" "+name)%uint64(n)]
	}
	pieces[0].SetPolicy(b.GetPolicy())
	for _, v := range b.GetCentres() {
		piece := at("centre", v.GetName())
		piece.SetCentres(append(piece.GetCentres(), v))
	}
	for _, v := range b.GetBackends() {
		piece := at("backend", v.GetName())
		piece.SetBackends(append(piece.GetBackends(), v))
	}
	for _, v := range b.GetRoutes() {
		piece := at("route", v.GetPrefix())
		piece.SetRoutes(append(piece.GetRoutes(), v))
	}
	for _, v := range b.GetCustomers() {
		piece := at("customer", v.GetName())
		piece.SetCustomers(append(piece.GetCustomers(), v))
	}
	return encode(pieces)
}

// buckets returns how many parts a number of entries is split into, a power of
// two, so that it seldom changes while a bundle grows.
func buckets(entries int) int {
	n := 1 << bits.Len(uint(entries/entriesPerPart))
	return min(n, partsMost)
}

func encode(pieces []*schema.Bundle) ([]platform.Part, [][]byte, error) {
	parts := make([]platform.Part, 0, len(pieces))
	blobs := make([][]byte, 0, len(pieces))
	for i, piece := range pieces {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(piece)
		if err != nil {
			return nil, nil, fmt.Errorf("encode part %d: %w", i, err)
		}
		if len(data) > MaxValueBytes {
			return nil, nil, fmt.Errorf("part %d has %d bytes: %w", i, len(data), ErrTooLarge)
		}
		name := fmt.Sprintf("p%03d", i)
		parts = append(parts, platform.NewPart(name, platform.DigestOf(data), len(data)))
		blobs = append(blobs, data)
	}
	return parts, blobs, nil
}

// ToBuilder converts a bundle to the domain's types, not yet checked.
func ToBuilder(b *schema.Bundle) *platform.Builder {
	d := platform.NewBuilder(b.GetVersion())
	p := b.GetPolicy()
	d.SetPolicy(platform.NewPolicy(
		p.GetReadUnconfirmed().AsDuration(),
		p.GetWriteUnconfirmed().AsDuration(),
		p.GetRetention().AsDuration(),
		p.GetDistrust().AsDuration(),
	))
	for _, v := range b.GetCentres() {
		d.AddCentre(platform.NewCentre(v.GetName(), v.GetRegion(), v.GetOut(), v.GetLost()))
	}
	for _, v := range b.GetBackends() {
		d.AddBackend(platform.NewBackend(v.GetName(), v.GetService(), v.GetCentre(), int(v.GetSlots()), v.GetOut()))
	}
	for _, v := range b.GetRoutes() {
		d.AddRoute(platform.NewRoute(v.GetPrefix(), v.GetService(), v.GetOpen(), v.GetKeyed(),
			safety(v.GetSafety()), v.GetTimeout().AsDuration()))
	}
	for _, v := range b.GetCustomers() {
		d.AddCustomer(platform.NewCustomer(v.GetName(), v.GetKeys(), v.GetRate(), int(v.GetBurst()), int(v.GetWeight())))
	}
	return d
}

func safety(s schema.Safety) platform.Safety {
	switch s {
	case schema.Safety_SAFETY_IDEMPOTENT:
		return platform.Idempotent
	case schema.Safety_SAFETY_ONCE:
		return platform.AtMostOnce
	}
	return platform.ByMethod
}
