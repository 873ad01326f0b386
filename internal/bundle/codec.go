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
	// targetEntriesPerPart bounds the mean number of entries per part, as long as the
	// number of parts is below maxParts.
	targetEntriesPerPart = 8
	// maxParts bounds the number of parts in a version.
	maxParts = 128
	// MaxValueBytes is the size of the largest value that the platform stores.
	MaxValueBytes = 1 << 20
)

// Codec decodes parts to a validated configuration.
type Codec struct{}

// Decode implements platform.Codec.
func (Codec) Decode(number uint64, parts [][]byte) (*platform.Config, error) {
	merged := &schema.Bundle{}
	for _, data := range parts {
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(data, merged); err != nil {
			return nil, fmt.Errorf("decode part: %w", err)
		}
	}
	merged.SetVersion(number)
	cfg, err := ToBuilder(merged).Build()
	if err != nil {
		return nil, fmt.Errorf("validate content: %w", err)
	}
	return cfg, nil
}

// Split encodes a bundle as parts. It returns the parts and, in the same order,
// their contents.
func Split(b *schema.Bundle) ([]platform.Part, [][]byte, error) {
	n := partCount(len(b.GetCentres()) + len(b.GetBackends()) + len(b.GetRoutes()) + len(b.GetCustomers()))
	partBundles := make([]*schema.Bundle, n)
	for i := range partBundles {
		partBundles[i] = &schema.Bundle{}
	}
	partOf := func(kind, name string) *schema.Bundle {
		return partBundles[xxhash.Sum64String(kind+" "+name)%uint64(n)]
	}
	partBundles[0].SetPolicy(b.GetPolicy())
	for _, v := range b.GetCentres() {
		part := partOf("centre", v.GetName())
		part.SetCentres(append(part.GetCentres(), v))
	}
	for _, v := range b.GetBackends() {
		part := partOf("backend", v.GetName())
		part.SetBackends(append(part.GetBackends(), v))
	}
	for _, v := range b.GetRoutes() {
		part := partOf("route", v.GetPrefix())
		part.SetRoutes(append(part.GetRoutes(), v))
	}
	for _, v := range b.GetCustomers() {
		part := partOf("customer", v.GetName())
		part.SetCustomers(append(part.GetCustomers(), v))
	}
	return marshalParts(partBundles)
}

// partCount returns the number of parts for a number of entries. It is a power of
// two, so that it seldom changes as a bundle grows: a new count changes most parts.
func partCount(entries int) int {
	n := 1 << bits.Len(uint(entries/targetEntriesPerPart))
	return min(n, maxParts)
}

func marshalParts(partBundles []*schema.Bundle) ([]platform.Part, [][]byte, error) {
	parts := make([]platform.Part, 0, len(partBundles))
	blobs := make([][]byte, 0, len(partBundles))
	for i, part := range partBundles {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(part)
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

// ToBuilder converts a bundle to the types of package platform without validating
// it.
func ToBuilder(b *schema.Bundle) *platform.Builder {
	builder := platform.NewBuilder(b.GetVersion())
	p := b.GetPolicy()
	builder.SetPolicy(platform.NewPolicy(
		p.GetReadUnconfirmed().AsDuration(),
		p.GetWriteUnconfirmed().AsDuration(),
		p.GetRetention().AsDuration(),
		p.GetDistrust().AsDuration(),
	))
	for _, v := range b.GetCentres() {
		builder.AddCentre(platform.NewCentre(v.GetName(), v.GetRegion(), v.GetOut(), v.GetLost()))
	}
	for _, v := range b.GetBackends() {
		builder.AddBackend(platform.NewBackend(v.GetName(), v.GetService(), v.GetCentre(), int(v.GetSlots()), v.GetOut()))
	}
	for _, v := range b.GetRoutes() {
		builder.AddRoute(platform.NewRoute(v.GetPrefix(), v.GetService(), v.GetOpen(), v.GetKeyed(),
			toSafety(v.GetSafety()), v.GetTimeout().AsDuration()))
	}
	for _, v := range b.GetCustomers() {
		builder.AddCustomer(platform.NewCustomer(v.GetName(), v.GetKeys(), v.GetRate(), int(v.GetBurst()), int(v.GetWeight())))
	}
	return builder
}

func toSafety(s schema.Safety) platform.Safety {
	switch s {
	case schema.Safety_SAFETY_IDEMPOTENT:
		return platform.Idempotent
	case schema.Safety_SAFETY_ONCE:
		return platform.AtMostOnce
	}
	return platform.ByMethod
}
