package peerquic

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// codeAborted is the error code of an aborted stream.
const codeAborted quic.StreamErrorCode = 1

// Stream is either side of the exchange of one request and its answer. One goroutine may
// read from it while another one writes, and Abort may be called at any time. Methods that
// write return ErrNotReading once the peer reads no more; its answer may still be read.
type Stream struct {
	stream *quic.Stream
	reader *bufio.Reader
	// writer buffers a message together with what follows it, to send fewer
	// packets.
	writer   *bufio.Writer
	counters *counters
	isCall   bool
}

func newStream(s *quic.Stream, c *counters) *Stream {
	return &Stream{
		stream:   s,
		reader:   bufio.NewReaderSize(s, readBufferBytes),
		writer:   bufio.NewWriterSize(s, writeBufferBytes),
		counters: c,
	}
}

// Context returns a context that ends when the peer aborts the stream or the
// connection is lost.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// WriteAnswer writes the message of an answer. It may stay buffered until Flush or
// CloseSend is called.
func (s *Stream) WriteAnswer(a *schema.Answer) error {
	n, err := writeMessage(s.writer, a)
	s.counters.add(s.isCall, 0, n)
	if err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// ReadAnswer reads the message of the next answer. A call may have two: one that asks for
// its body, and the reply. ErrUnreachable means that the peer has not read the request; the
// same holds for the methods that write.
func (s *Stream) ReadAnswer() (*schema.Answer, error) {
	a := &schema.Answer{}
	n, err := readMessage(s.reader, a)
	s.counters.add(s.isCall, n, 0)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", withRefusal(err))
	}
	if err := checkReply(a.GetReply()); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return a, nil
}

// Read reads the body that follows the messages. It returns io.EOF at the end of a
// complete body, and another error if the peer aborted the stream.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		return n, fmt.Errorf("read body: %w", err)
	}
	return n, err
}

// Write writes the body. It may stay buffered until Flush or CloseSend is called.
func (s *Stream) Write(p []byte) (int, error) {
	n, err := s.writer.Write(p)
	if err != nil {
		return n, fmt.Errorf("write body: %w", s.sendError(err))
	}
	return n, nil
}

// Flush sends the buffered data.
func (s *Stream) Flush() error {
	if err := s.writer.Flush(); err != nil {
		return fmt.Errorf("flush: %w", s.sendError(err))
	}
	return nil
}

// CloseSend flushes the buffer and closes the sending side, which marks the body as
// complete.
func (s *Stream) CloseSend() error {
	if err := s.Flush(); err != nil {
		return err
	}
	if err := s.stream.Close(); err != nil {
		return fmt.Errorf("close stream: %w", s.sendError(err))
	}
	return nil
}

// sendError adds ErrNotReading or ErrUnreachable to an error of the sending side if that is
// its cause. quic-go states the cause in the error of a write, but not in that of a close.
func (s *Stream) sendError(err error) error {
	var stopped *quic.StreamError
	if errors.As(context.Cause(s.stream.Context()), &stopped) && stopped.Remote {
		return fmt.Errorf("%w: %w", ErrNotReading, err)
	}
	return withRefusal(err)
}

// Abort aborts both directions. The peer sees an error instead of the end of the
// stream.
func (s *Stream) Abort() {
	s.stream.CancelWrite(codeAborted)
	s.stream.CancelRead(codeAborted)
}

// StopReading asks the peer to stop sending its body.
func (s *Stream) StopReading() { s.stream.CancelRead(codeAborted) }
