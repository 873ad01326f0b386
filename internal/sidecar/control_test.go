package sidecar

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

func exampleMessage(t testing.TB) *schema.Exchange {
	g := &gossiper{}
	m := &schema.Exchange{}
	m.SetFrom("10.0.0.1")
	m.SetRevision(7)
	var items []replica.Item
	for i := range 40 {
		items = append(items, replica.NewItem(fmt.Sprintf("key-%d", i), []byte(strings.Repeat("value ", 100)), uint64(i+1)))
	}
	data, err := g.pack(1, items)
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := g.pack(1, items); &again[0] != &data[0] {
		t.Error("the items were packed again")
	}
	if other, _ := g.pack(2, items); &other[0] == &data[0] {
		t.Error("items of another era were taken for the same")
	}
	items[3] = replica.NewItem("key-3", []byte("other"), 99)
	if other, _ := g.pack(1, items); &other[0] == &data[0] {
		t.Error("other items were taken for the same")
	}
	m.SetPacked(data)
	return m
}

// TestControl encodes and decodes a message with packed items.
func TestControl(t *testing.T) {
	data, err := encodeControl(exampleMessage(t))
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeControl(data)
	if err != nil || len(m.GetItems()) != 40 || m.HasPacked() || m.GetItems()[39].GetKey() != "key-39" {
		t.Fatalf("%v, %v", m, err)
	}
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 1
		if _, err := decodeControl(damaged); err == nil {
			t.Fatalf("a message with damage at byte %d was decoded", i)
		}
	}
}

// FuzzControl checks that no message ends the process, and that a message that is decoded
// can be encoded and is the same then.
func FuzzControl(f *testing.F) {
	data, err := encodeControl(exampleMessage(f))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeControl(data)
		if err != nil {
			return
		}
		again, err := encodeControl(m)
		if err != nil {
			t.Fatal(err)
		}
		back, err := decodeControl(again)
		if err != nil || !proto.Equal(m, back) {
			t.Fatalf("%v, %v", back, err)
		}
	})
}
