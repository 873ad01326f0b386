package sidecar

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// compressionThreshold is the size in bytes from which control messages are compressed.
const compressionThreshold = 4 << 10

// The first byte of a control message is the encoding of the message, which follows a
// checksum of checksumBytes bytes.
const (
	encodingPlain byte = iota + 2
	encodingS2
)

const checksumBytes = 8

var (
	errUnknownEncoding = eris.New("unknown encoding")
	errChecksum        = eris.New("wrong checksum")
	errMessageTooLarge = eris.New("message too large")
)

func encodeControl(m *schema.Exchange) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 1+checksumBytes), m)
	if err != nil {
		return nil, fmt.Errorf("encode control message: %w", err)
	}
	encoding, body := encodingPlain, data[1+checksumBytes:]
	if len(body) >= compressionThreshold && !m.HasPacked() {
		encoding, body = encodingS2, s2.EncodeBetter(nil, body)
		data = append(data[:1+checksumBytes], body...)
	}
	data[0] = encoding
	binary.LittleEndian.PutUint64(data[1:], xxhash.Sum64(body))
	return data, nil
}

// decodeControl decodes a control message. The checksum rejects a message that was damaged
// on the way, or sent by a daemon with another format: a wrong revision in it would keep
// this daemon from following the store.
func decodeControl(data []byte) (*schema.Exchange, error) {
	if len(data) < 1+checksumBytes {
		return nil, fmt.Errorf("decode control message: %w", errUnknownEncoding)
	}
	body := data[1+checksumBytes:]
	if binary.LittleEndian.Uint64(data[1:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("decode control message: %w", errChecksum)
	}
	switch data[0] {
	case encodingPlain:
	case encodingS2:
		var err error
		if body, err = decompress(body); err != nil {
			return nil, fmt.Errorf("decode control message: %w", err)
		}
	default:
		return nil, fmt.Errorf("decode control message: %w", errUnknownEncoding)
	}
	m := &schema.Exchange{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode control message: %w", err)
	}
	if err := unpackItems(m); err != nil {
		return nil, fmt.Errorf("decode control message: %w", err)
	}
	return m, nil
}

// packItems returns the items as a compressed message.
func packItems(items []*schema.Item) ([]byte, error) {
	data, err := proto.Marshal(schema.Items_builder{Items: items}.Build())
	if err != nil {
		return nil, fmt.Errorf("pack items: %w", err)
	}
	return s2.EncodeBetter(nil, data), nil
}

// unpackItems replaces packed items by the items themselves.
func unpackItems(m *schema.Exchange) error {
	if !m.HasPacked() {
		return nil
	}
	data, err := decompress(m.GetPacked())
	if err != nil {
		return err
	}
	list := &schema.Items{}
	if err := proto.Unmarshal(data, list); err != nil {
		return fmt.Errorf("unpack items: %w", err)
	}
	m.SetItems(list.GetItems())
	m.ClearPacked()
	return nil
}

func decompress(body []byte) ([]byte, error) {
	n, err := s2.DecodedLen(body)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if n > maxMessageBytes {
		return nil, fmt.Errorf("decompress: %w: %d bytes, limit %d", errMessageTooLarge, n, maxMessageBytes)
	}
	out, err := s2.Decode(nil, body)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return out, nil
}
