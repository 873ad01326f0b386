package peerquic

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes is the maximum size of a message. The largest message is a whole
// bundle; the limit leaves it room to grow.
const maxMessageBytes = 16 << 20

// Buffer sizes of a stream.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// writeMessage writes a length-delimited message and returns the number of bytes
// written.
func writeMessage(w io.Writer, m proto.Message) (int, error) {
	n, err := protodelim.MarshalTo(w, m)
	if err != nil {
		return n, fmt.Errorf("write message: %w", err)
	}
	return n, nil
}

// readMessage reads a length-delimited message and returns its size in bytes, without
// the length prefix.
func readMessage(r *bufio.Reader, m proto.Message) (int, error) {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(r, m); err != nil {
		return 0, fmt.Errorf("read message: %w", err)
	}
	return proto.Size(m), nil
}
