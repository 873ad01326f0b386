package peerquic

import (
	"bufio"
	"context"
	"fmt"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// aborted is the code of a stream that was given up.
const aborted quic.StreamErrorCode = 1

// Stream is one request and its answer, from either side.
type Stream struct {
	stream *quic.Stream
	reader *bufio.Reader
	// writer gathers a message with what follows it, to send few packets.
	writer *bufio.Writer
	count  *counters
	call   bool
}

func newStream(s *quic.Stream, count *counters) *Stream {
	return &Stream{
		stream: s,
		reader: bufio.NewReaderSize(s, readSize),
		writer: bufio.NewWriterSize(s, writeSize),
		count:  count,
	}
}

// Context ends when the other side gives the stream up or is lost.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// WriteAnswer writes an answer's message. It may wait for Flush or CloseSend.
func (s *Stream) WriteAnswer(a *schema.Answer) error {
	n, err := writeMessage(s.writer, a)
	s.count.add(s.call, 0, n)
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}

// ReadAnswer reads the next answer's message.
func (s *Stream) ReadAnswer() (*schema.Answer, error) {
	a := &schema.Answer{}
	n, err := readMessage(s.reader, a)
	s.count.add(s.call, n, 0)
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return a, nil
}

// Read reads the body that follows the messages.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		return n, fmt.Errorf("read body: %w", err)
	}
	return n, err
}

// Write writes the body. It may wait for Flush or CloseSend.
func (s *Stream) Write(p []byte) (int, error) {
	n, err := s.writer.Write(p)
	if err != nil {
		return n, fmt.Errorf("write body: %w", err)
	}
	return n, nil
}

// Flush sends what has been written.
func (s *Stream) Flush() error {
	if err := s.writer.Flush(); err != nil {
		return fmt.Errorf("flush: %w", err)
	}
	return nil
}

// CloseSend ends what this side sends: the body is whole.
func (s *Stream) CloseSend() error {
	if err := s.Flush(); err != nil {
		return err
	}
	if err := s.stream.Close(); err != nil {
		return fmt.Errorf("end stream: %w", err)
	}
	return nil
}

// Abort gives up both directions. The other side sees an error, not an end.
func (s *Stream) Abort() {
	s.stream.CancelWrite(aborted)
	s.stream.CancelRead(aborted)
}

// StopReading tells the other side that the rest of its body is not wanted.
func (s *Stream) StopReading() { s.stream.CancelRead(aborted) }
