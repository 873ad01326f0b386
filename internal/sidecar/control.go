package sidecar

import (
	"fmt"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// compressionThreshold is the size in bytes from which control messages are compressed.
const compressionThreshold = 4 << 10

// The first byte of a control message is the encoding of the rest.
const (
	encodingPlain byte = iota
	encodingS2
)

var errUnknownEncoding = eris.New("unknown encoding")

func encodeControl(m *schema.Exchange) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{encodingPlain}, m)
	if err != nil {
		return nil, fmt.Errorf("encode control message: %w", err)
	}
	if len(data) < compressionThreshold {
		return data, nil
	}
	return append([]byte{encodingS2}, s2.EncodeBetter(nil, data[1:])...), nil
}

func decodeControl(data []byte) (*schema.Exchange, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("decode control message: %w", errUnknownEncoding)
	}
	body := data[1:]
	switch data[0] {
	case encodingPlain:
	case encodingS2:
		var err error
		if body, err = s2.Decode(nil, body); err != nil {
			return nil, fmt.Errorf("decode control message: %w", err)
		}
	default:
		return nil, fmt.Errorf("decode control message: %w", errUnknownEncoding)
	}
	m := &schema.Exchange{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode control message: %w", err)
	}
	return m, nil
}
