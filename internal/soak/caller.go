package soak

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Shapes of requests. A shape that is listed twice is drawn twice as often.
const (
	shapeGet      = "get"
	shapePost     = "post"
	shapeHead     = "head"
	shapeOld      = "http/1.0"
	shapeSlow     = "slow body"
	shapeExpect   = "expect"
	shapeLarge    = "large response"
	shapeUpload   = "upload"
	shapePipeline = "pipelined"
	shapeLeave    = "leaving"
	shapeExtra    = "extra route"
	shapeCall     = "call"
)

var shapes = []string{
	shapeGet, shapeGet, shapeGet, shapePost, shapePost, shapePost, shapeHead, shapeOld, shapeSlow, shapeSlow,
	shapeExpect, shapeLarge, shapeUpload, shapePipeline, shapePipeline, shapeLeave, shapeExtra,
}

const (
	// patience is how much longer than its deadline a caller waits.
	patience = 2 * time.Second
	// redialPause is the pause after a connection that could not be opened.
	redialPause = 50 * time.Millisecond
	// expectTimeout is how long a caller waits for 100 before it sends the body.
	expectTimeout = time.Second
	// leaveWithin is how soon a caller leaves that does not wait for its response.
	leaveWithin = 100 * time.Millisecond
	// slowReadPause is the pause between the reads of a large response.
	slowReadPause = 20 * time.Millisecond
)

// caller sends requests to the daemon of its instance, on one connection as long as it stays
// open.
type caller struct {
	fleet    *fleet
	instance *instance
	address  string
	pause    time.Duration
	draw     *rand.Rand
	// prefix begins the ids of the requests.
	prefix   string
	requests int
	conn     net.Conn
	reader   *bufio.Reader
}

func newCaller(f *fleet, i *instance, n int, o Options) *caller {
	return &caller{
		fleet: f, instance: i, address: i.address(f.port + portOutbound), pause: o.load.pause,
		draw:   rand.New(rand.NewPCG(o.seed, uint64(i.index+1)<<32|uint64(n))),
		prefix: fmt.Sprintf("%04x%02x%03x", o.seed&0xffff, i.index, n),
	}
}

// run sends requests until end is closed.
func (c *caller) run(end <-chan struct{}) {
	defer c.hangUp()
	for {
		select {
		case <-end:
			return
		case <-time.After(drawDuration(c.draw, c.pause)):
		}
		if c.conn == nil && !c.dial() {
			time.Sleep(redialPause)
			continue
		}
		x := c.newExchange(shapes[c.draw.IntN(len(shapes))])
		x.run()
		if !x.reusable {
			c.hangUp()
		}
	}
}

// dial opens a connection. It returns false if the daemon does not accept it.
func (c *caller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// callInterval is how many requests have one that needs a call.
const callInterval = 5

// call makes the call that a run of a request at an instance's backend server needs, if it needs
// one, through the instance's daemon. It reports whether the call has been served.
func (f *fleet) call(i *instance, id string, run int) bool {
	sum := crc32.ChecksumIEEE([]byte(id))
	if sum%callInterval != 0 || i.service == services[len(services)-1] {
		return true
	}
	c := &caller{
		fleet: f, instance: i, address: i.address(f.port + portOutbound),
		draw: rand.New(rand.NewPCG(uint64(sum), uint64(run))), prefix: fmt.Sprintf("c%x%s.", run, id),
	}
	if !c.dial() {
		return false
	}
	defer c.hangUp()
	x := c.newExchange(shapeCall)
	x.run()
	return f.journal.snapshot(x.messages[0].request.id).outcome.status == http.StatusOK
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// message is a request with its bytes on the wire.
type message struct {
	request *request
	head    string
	// pieces are the parts of the body, sent one by one with pauses.
	pieces []string
	pauses []time.Duration
	expect bool
}

// limitedInterval is in how many requests of a caller one may be of the customer with a limit.
const limitedInterval = 4

// newMessage draws a request of a shape.
func (c *caller) newMessage(shape string) *message {
	c.requests++
	r := &request{
		id: fmt.Sprintf("%s%07x", c.prefix, c.requests), shape: shape, method: http.MethodGet, idempotent: true,
		target: pathPrefix + strconv.Itoa(c.requests), instance: c.instance.index, service: c.instance.service,
	}
	r.customer = "customer-" + string("ab"[c.draw.IntN(2)])
	if shape == shapeGet && c.requests%limitedInterval == 0 {
		r.customer = customerLimited
	}
	m := &message{request: r}
	authorization := "Authorization: Bearer " + customerKeys[r.customer] + "\r\n"
	host, version, framing := hostRead, "1.1", ""
	size, pieces, pause := 0, 1, time.Duration(0)
	switch shape {
	case shapePost, shapeSlow, shapeExpect, shapeUpload:
		host, r.method, r.idempotent, size = hostBook, http.MethodPost, false, 1+c.draw.IntN(2000)
	case shapeHead:
		r.method = http.MethodHead
	case shapeOld:
		version = "1.0"
	case shapeLarge:
		r.target = pathPrefix + "large/" + strconv.Itoa(c.requests)
	case shapePipeline:
		if c.draw.IntN(4) == 0 {
			host, r.method, r.idempotent, size = hostBook, http.MethodPost, false, 10
		}
	case shapeExtra:
		host, r.extra = hostExtra, true
	case shapeCall:
		host, r.customer, authorization = hostCall, "", ""
	}
	switch shape {
	case shapeSlow:
		size, pieces, pause = 8*4096, 8, 120*time.Millisecond
	case shapeUpload:
		host, size, pieces, pause = hostUpload, largeBody+c.draw.IntN(largeBody), 8, 60*time.Millisecond
	}
	chunked := shape == shapeSlow || shape == shapePost && c.draw.IntN(3) == 0
	body := strings.Repeat(r.id+"\n", size/(len(r.id)+1)+1)[:size]
	r.bodySize, r.bodySum = size, crc32.ChecksumIEEE([]byte(body))
	for n := range pieces {
		piece := body[size*n/pieces : size*(n+1)/pieces]
		if chunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		m.pieces = append(m.pieces, piece)
		if pause > 0 {
			m.pauses = append(m.pauses, drawDuration(c.draw, pause))
		}
	}
	switch {
	case chunked:
		m.pieces = append(m.pieces, "0\r\n\r\n")
		framing = "Transfer-Encoding: chunked\r\n"
	case size > 0:
		framing = fmt.Sprintf("Content-Length: %d\r\n", size)
	default:
		m.pieces = nil
	}
	if shape == shapeExpect {
		m.expect = true
		framing += "Expect: 100-continue\r\n"
	}
	if c.draw.IntN(4) == 0 {
		framing += fieldCustomer + ": customer-c\r\n" + fieldService + ": nobody\r\n"
	}
	m.head = fmt.Sprintf("%s %s HTTP/%s\r\nHost: %s\r\n%s: %s\r\n%s%s: %d\r\n%s\r\n",
		r.method, r.target, version, host, fieldID, r.id, authorization, fieldDeadline, deadline.Milliseconds(), framing)
	return m
}

// exchange is one or, if they are pipelined, several requests and their responses.
type exchange struct {
	caller   *caller
	messages []*message
	slow     bool
	// leave is when the caller closes the connection, if that is not zero.
	leave    time.Duration
	left     atomic.Bool
	reusable bool
	// proceed receives a value when the server asks for the body, done is closed when no more
	// responses are expected.
	proceed, done chan struct{}
}

func (c *caller) newExchange(shape string) *exchange {
	x := &exchange{caller: c, slow: shape == shapeLarge, proceed: make(chan struct{}, 1), done: make(chan struct{})}
	n := 1
	switch shape {
	case shapePipeline:
		n = 2 + c.draw.IntN(4)
	case shapeLeave:
		x.leave = 1 + drawDuration(c.draw, leaveWithin)
	}
	for range n {
		x.messages = append(x.messages, c.newMessage(shape))
	}
	return x
}

// run sends the requests while it reads the responses, and records the outcomes. A failure to
// write does not end the reading, since responses may have arrived before.
func (x *exchange) run() {
	j := x.caller.fleet.journal
	for _, m := range x.messages {
		j.requests.Put(m.request.id, m.request)
	}
	_ = x.caller.conn.SetDeadline(time.Now().Add(deadline + patience))
	if x.leave > 0 {
		conn := x.caller.conn
		timer := time.AfterFunc(x.leave, func() {
			x.left.Store(true)
			_ = conn.Close()
		})
		defer timer.Stop()
	}
	// The entries of the journal are shared with the backend servers, so that what is seen
	// here is kept apart until the end.
	seen := make([]request, len(x.messages))
	go func() {
		x.receive(seen)
		close(x.done)
	}()
	begun, sent := make([]time.Duration, len(x.messages)), make([]time.Duration, len(x.messages))
	for n, m := range x.messages {
		if !x.send(m, &begun[n], &sent[n]) {
			break
		}
	}
	<-x.done
	x.reusable = x.reusable && sent[len(sent)-1] != 0
	for n, m := range x.messages {
		outcome := seen[n].outcome
		if begun[n] == 0 {
			outcome.kind = unsent
		}
		j.update(m.request.id, func(r *request) {
			r.begun, r.sent, r.ended, r.outcome = begun[n], sent[n], seen[n].ended, outcome
		})
		j.ended(m.request.id, m.request.shape, outcome)
	}
}

// send writes a request. It returns false if the connection cannot be written to.
func (x *exchange) send(m *message, begun, sent *time.Duration) bool {
	c := x.caller
	at := c.fleet.journal.now()
	if _, err := io.WriteString(c.conn, m.head); err != nil {
		return false
	}
	*begun = at
	if m.expect {
		select {
		case <-x.proceed:
		case <-x.done:
			return false
		case <-time.After(expectTimeout):
		}
	}
	for n, piece := range m.pieces {
		if n < len(m.pauses) {
			select {
			case <-x.done:
				return false
			case <-time.After(m.pauses[n]):
			}
		}
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return false
		}
	}
	*sent = c.fleet.journal.now()
	return true
}

// receive reads the responses.
func (x *exchange) receive(seen []request) {
	j := x.caller.fleet.journal
	for n, m := range x.messages {
		o, last := x.read(m.request)
		seen[n].outcome, seen[n].ended = o, j.now()
		if o.kind == answered && !last {
			// Requests that are not safe wait for the responses before.
			_ = x.caller.conn.SetDeadline(time.Now().Add(deadline + patience))
			continue
		}
		if o.kind == answered {
			o = outcome{kind: crossed}
		}
		for k := n + 1; k < len(seen); k++ {
			seen[k].outcome, seen[k].ended = o, j.now()
		}
		return
	}
	x.reusable = true
}

// read reads the response to a request, and reports whether it is the last on its connection.
func (x *exchange) read(r *request) (o outcome, last bool) {
	c := x.caller
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
		if err != nil {
			return x.failed("read response", err), true
		}
		if resp.StatusCode == http.StatusContinue {
			x.proceed <- struct{}{}
			continue
		}
		body, err := x.readBody(resp.Body)
		if err != nil {
			return x.failed(fmt.Sprintf("read body of %d, %d bytes", resp.StatusCode, len(body)), err), true
		}
		o := outcome{kind: answered, status: resp.StatusCode}
		if o.status < 200 || o.status > 299 {
			o.detail = strings.TrimSpace(string(body[:min(len(body), 100)]))
		}
		if text := checkResponse(r, resp, body); text != "" {
			o.foreign, o.detail = true, text
		}
		return o, resp.Close
	}
}

func (x *exchange) readBody(from io.Reader) (body []byte, err error) {
	if !x.slow {
		return io.ReadAll(from)
	}
	buf := make([]byte, largeBody/16)
	for {
		n, err := from.Read(buf)
		body = append(body, buf[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
		time.Sleep(slowReadPause)
	}
}

// failed returns the outcome of a request whose response could not be read.
func (x *exchange) failed(action string, err error) outcome {
	o := outcome{kind: cut, detail: fmt.Sprintf("%s: %v", action, err)}
	switch {
	case x.left.Load():
		o.kind = left
	case errors.Is(err, os.ErrDeadlineExceeded):
		o.kind = silent
	}
	return o
}

// checkResponse returns what shows that a response is not the one of a backend server to a
// request, or an empty text.
func checkResponse(r *request, resp *http.Response, body []byte) string {
	id, sealed := resp.Header.Get(fieldID), resp.Header.Get(fieldSeal)
	success := resp.StatusCode >= 200 && resp.StatusCode <= 299
	switch {
	case id != "" && id != r.id:
		return "response to " + id
	case !success && sealed != "":
		return fmt.Sprintf("status %d with the seal %s", resp.StatusCode, sealed)
	case !success:
		return ""
	}
	from, rest, _ := strings.Cut(sealed, ".")
	if r.method == http.MethodHead {
		if !strings.HasPrefix(rest, r.id+".") {
			return fmt.Sprintf("status %d with the seal %q", resp.StatusCode, sealed)
		}
		return ""
	}
	if sealed != seal(from, r.id, body) || string(body) != string(answerOf(from, r.id, r.shape == shapeLarge)) {
		return fmt.Sprintf("status %d with the seal %q and a body of %d bytes", resp.StatusCode, sealed, len(body))
	}
	return ""
}
