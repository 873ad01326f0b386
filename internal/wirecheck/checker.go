package wirecheck

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a message is not a valid response.
var ErrMalformed = eris.New("malformed response")

// state is the part of a response to which the next byte belongs.
type state uint8

const (
	inStatus state = iota
	inReason
	atLine
	inName
	inValue
	inBody
	atChunk
	inExtension
	inChunk
	untilClose
)

const (
	// statusStart is how the status line of each response begins.
	statusStart = "HTTP/1."
	// codeAt and codeEnd are where the status code is in the status line.
	codeAt, codeEnd = len(statusStart) + 2, len(statusStart) + 5
	// maxSizeDigits is the number of digits of the largest chunk, as in net/http.
	maxSizeDigits = 16
	// maxKept is the number of bytes that are kept of a value. No valid length is longer.
	maxKept = 24
)

const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
)

// Checker follows the responses on one connection by their bytes. Its zero value is at the
// beginning of the first one. It keeps no lines, so that checking needs no memory and little
// time.
type Checker struct {
	// withoutBody is set while responses have no body because of the method of the request. It
	// may be set while another goroutine reads.
	withoutBody atomic.Bool
	err         error
	state       state
	// cr is set between a CR and its LF.
	cr bool
	// inTrailer is set in the fields behind a body.
	inTrailer bool
	// at counts the bytes of the status line, or of a name or chunk size.
	at int
	// minor and status are from the status line.
	minor  byte
	status int
	// name is the beginning of the name of the field, in lower case, and value that of its value
	// if the field describes the body.
	name  [len(transferEncoding)]byte
	value []byte
	kept  [maxKept]byte
	keeps bool
	// encoded, hasLength, length and badLength describe the body.
	encoded, hasLength, badLength bool
	length                        uint64
	// remaining is the number of bytes left of the body or chunk.
	remaining uint64
}

// Begin states the method of the request to which the next responses belong.
func (c *Checker) Begin(method string) { c.withoutBody.Store(method == http.MethodHead) }

// UntilClose reports whether the end of the connection would end the body of a response.
func (c *Checker) UntilClose() bool { return c.state == untilClose }

// Err returns the error of Check, which does not change any more, or nil.
func (c *Checker) Err() error { return c.err }

// Check checks the next bytes of the connection. It returns how many of them may be parsed, and
// an error if the bytes behind them are malformed: they and all later ones must not be parsed.
// The parser never gets the end of a malformed section, but it gets the first byte of the message,
// so that it can tell the message from an end of the connection: net/http sends a request again if
// a kept connection ends without a response.
func (c *Checker) Check(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	for i := 0; i < len(p); {
		switch c.state {
		case untilClose:
			return len(p), nil
		case inBody, inChunk:
			n := min(c.remaining, uint64(len(p)-i))
			i += int(n)
			if c.remaining -= n; c.remaining == 0 {
				c.endBlock()
			}
			continue
		case inValue, inReason:
			if !c.keeps && !c.cr {
				if i += textLength(p[i:]); i == len(p) {
					continue
				}
			}
		}
		first := c.state == inStatus && c.at == 0
		if c.err = c.step(p[i]); c.err != nil {
			if first {
				i++
			}
			return i, c.err
		}
		i++
	}
	return len(p), nil
}

// step checks one byte that is not part of a body.
func (c *Checker) step(b byte) error {
	switch {
	case c.cr && b != '\n':
		return malformed("CR without LF")
	case b == '\r':
		c.cr = true
		return nil
	case b == '\n':
		c.cr = false
		return c.endLine()
	}
	switch c.state {
	case inStatus:
		return c.statusByte(b)
	case atLine:
		c.state, c.at = inName, 0
		return c.nameByte(b)
	case inName:
		return c.nameByte(b)
	case atChunk:
		return c.sizeByte(b)
	}
	if !isText(b) {
		return malformed("control byte 0x%02x", b)
	}
	if c.keeps {
		c.keep(b)
	}
	return nil
}

// keep adds a byte to the value. There may be any number of blanks around it.
func (c *Checker) keep(b byte) {
	blank := b == ' ' || b == '\t'
	switch {
	case len(c.value) < maxKept && !(blank && len(c.value) == 0):
		c.value = append(c.value, b)
	case !blank:
		c.badLength = true
	}
}

func (c *Checker) statusByte(b byte) error {
	at := c.at
	c.at++
	valid := true
	switch {
	case at < len(statusStart):
		valid = b == statusStart[at]
	case at == len(statusStart):
		c.minor = b
		valid = b == '0' || b == '1'
	case at < codeAt:
		valid = b == ' '
		c.status = 0
	case at == codeAt:
		c.status = int(b - '0')
		valid = '1' <= b && b <= '5'
	case at < codeEnd:
		c.status = 10*c.status + int(b-'0')
		valid = '0' <= b && b <= '9'
	default:
		valid = b == ' '
		c.state = inReason
	}
	if !valid {
		return malformed("status line, byte %d is 0x%02x", at, b)
	}
	return nil
}

func (c *Checker) nameByte(b byte) error {
	if b == ':' && c.at > 0 {
		c.state = inValue
		name := c.name[:min(c.at, len(c.name))]
		c.keeps = !c.inTrailer && c.at <= len(c.name) && (string(name) == contentLength || string(name) == transferEncoding)
		c.value = c.kept[:0]
		return nil
	}
	if !isToken[b] {
		return malformed("byte 0x%02x in a field name", b)
	}
	if c.at < len(c.name) {
		// Of the bytes of tokens, only letters become letters by this.
		c.name[c.at] = b | 0x20
	}
	c.at++
	return nil
}

// sizeByte reads the size of a chunk. What follows it up to the end of the line has no effect.
func (c *Checker) sizeByte(b byte) error {
	digit := uint64(0)
	switch {
	case '0' <= b && b <= '9':
		digit = uint64(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		digit = uint64(b|0x20-'a') + 10
	case c.at > 0 && (b == ';' || b == ' ' || b == '\t'):
		c.state = inExtension
		return nil
	default:
		return malformed("byte 0x%02x in the size of a chunk", b)
	}
	if c.at++; c.at > maxSizeDigits {
		return malformed("size of a chunk")
	}
	c.remaining = c.remaining<<4 | digit
	return nil
}

// endLine continues behind a line.
func (c *Checker) endLine() error {
	switch c.state {
	case inStatus:
		if c.at != codeEnd {
			return malformed("status line of %d bytes", c.at)
		}
	case inName:
		return malformed("field without a colon")
	case inValue:
		c.endField()
	case atLine:
		return c.endSection()
	case atChunk, inExtension:
		return c.endSize()
	}
	c.state = atLine
	return nil
}

// endField takes the field into account if it describes the body.
func (c *Checker) endField() {
	if !c.keeps {
		return
	}
	c.keeps = false
	if c.name[0] == transferEncoding[0] {
		c.encoded = true
		return
	}
	n, err := strconv.ParseUint(trim(c.value), 10, 63)
	c.badLength = c.badLength || err != nil || c.hasLength && n != c.length
	c.hasLength, c.length = true, n
}

// endSection continues behind the empty line that ends a head or a trailer.
func (c *Checker) endSection() error {
	switch {
	case c.status == http.StatusSwitchingProtocols:
		// No client of this repository asks for another protocol.
		return malformed("switch to another protocol")
	case c.inTrailer, c.withoutBody.Load(), c.status < http.StatusOK,
		c.status == http.StatusNoContent, c.status == http.StatusNotModified:
		c.endMessage()
	case c.encoded && c.minor == '0':
		return malformed("Transfer-Encoding in a response of HTTP/1.0")
	case c.encoded:
		c.state, c.at, c.remaining = atChunk, 0, 0
	case c.badLength:
		return malformed("Content-Length")
	case c.hasLength:
		c.state, c.remaining = inBody, c.length
		if c.length == 0 {
			c.endMessage()
		}
	default:
		c.state = untilClose
	}
	return nil
}

// endSize continues behind the line with the size of a chunk. A chunk ends with a CR and a LF.
func (c *Checker) endSize() error {
	switch {
	case c.at == 0 || c.remaining > math.MaxInt64-2:
		return malformed("size of a chunk")
	case c.remaining == 0:
		c.state, c.inTrailer = atLine, true
	default:
		c.state = inChunk
		c.remaining += 2
	}
	return nil
}

// endBlock continues behind a body of declared size, or a chunk.
func (c *Checker) endBlock() {
	if c.state == inBody {
		c.endMessage()
		return
	}
	c.state, c.at, c.remaining = atChunk, 0, 0
}

func (c *Checker) endMessage() {
	c.state, c.at, c.inTrailer = inStatus, 0, false
	c.encoded, c.hasLength, c.badLength = false, false, false
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// isToken states which bytes may be in a field name.
var isToken = func() (table [256]bool) {
	for b := range table {
		table[b] = httpguts.IsTokenRune(rune(b))
	}
	return table
}()

// isText reports whether a byte may be in a reason or a field value.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// textLength returns the number of bytes up to the first one that is not text.
func textLength(p []byte) int {
	for i, b := range p {
		if !isText(b) {
			return i
		}
	}
	return len(p)
}

// trim removes the blanks around a value.
func trim(value []byte) string {
	for len(value) > 0 && (value[0] == ' ' || value[0] == '\t') {
		value = value[1:]
	}
	for n := len(value); n > 0 && (value[n-1] == ' ' || value[n-1] == '\t'); n-- {
		value = value[:n-1]
	}
	return string(value)
}
