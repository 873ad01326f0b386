package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// connection is a client's connection to the daemon of its machine.
type connection struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &connection{Conn: c, r: bufio.NewReader(c)}, nil
}

// answer is what a client received.
type answer struct {
	status int
	header http.Header
	body   []byte
	// last states that the daemon closes the connection after the answer.
	last bool
}

var lastID atomic.Uint64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+lastID.Add(1)) }

// send sends a request with a length and waits for its answer.
func (c *connection) send(method, target string, deadline time.Duration, fields []string, body []byte) (*answer, error) {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n%s\r\n", method, target, strings.Join(fields, "\r\n"))
	_, _ = fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\n", deadline.Milliseconds())
	if len(body) > 0 {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: data, last: resp.Close}, nil
}
