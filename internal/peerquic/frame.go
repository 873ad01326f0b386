package peerquic

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// messageMost is the largest message in bytes: a whole bundle with room.
const messageMost = 16 << 20

// readSize and writeSize are the buffers of a stream in bytes.
const (
	readSize  = 4 << 10
	writeSize = 4 << 10
)

func writeMessage(w io.Writer, m proto.Message) (int, error) {
	n, err := protodelim.MarshalTo(w, m)
	if err != nil {
		return n, fmt.Errorf("write message: %w", err)
	}
	return n, nil
}

func readMessage(r *bufio.Reader, m proto.Message) (int, error) {
	options := protodelim.UnmarshalOptions{MaxSize: messageMost}
	if err := options.UnmarshalFrom(r, m); err != nil {
		return 0, fmt.Errorf("read message: %w", err)
	}
	return proto.Size(m), nil
}
