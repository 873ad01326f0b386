package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/wirecheck/wiretest"
)

// endlessResponses are the beginning of a response and what follows it without end.
var endlessResponses = map[string][2]string{
	"status":  {"HTTP/1.1 200 ", "O"},
	"line":    {"", "no response "},
	"field":   {"HTTP/1.1 200 OK\r\nA: ", "a"},
	"fields":  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"others":  {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"},
	"rest":    {"HTTP/1.1 200 OK\r\nId: mine\r\n\r\n", "body "},
	"chunks":  {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbody \r\n"},
	"size":    {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"trailer": {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"length":  {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9000000000000000000\r\n\r\n", "body "},
}

// serveEndless answers each request with a response that does not end until the client
// closes the connection.
func serveEndless(t *testing.T, response [2]string, m *heapMeter) string {
	more := []byte(strings.Repeat(response[1], 1+(16<<10)/len(response[1])))
	return wiretest.Serve(t, "127.0.0.1:0", func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := c.Write([]byte(response[0]))
		for err == nil {
			err = m.send(c, more)
		}
	})
}

// measureBytes is the number of bytes sent between two measurements of the heap.
const measureBytes = 4 << 20

// heapMeter measures the memory that the receivers of bytes use. It counts what is reachable
// and what was allocated in total. The size of the heap itself also depends on when garbage is
// collected, which is late on a machine where others wait.
type heapMeter struct {
	base runtime.MemStats
	sent atomic.Int64
	// sending is held for writing during a measurement, so that receivers get no more bytes. It
	// guards peak.
	sending sync.RWMutex
	peak    uint64
}

func newHeapMeter() *heapMeter {
	m := &heapMeter{}
	runtime.GC()
	runtime.ReadMemStats(&m.base)
	return m
}

// send writes bytes to a connection and measures the heap at times.
func (m *heapMeter) send(c net.Conn, p []byte) error {
	m.sending.RLock()
	n, err := c.Write(p)
	m.sending.RUnlock()
	if sent := m.sent.Add(int64(n)); sent/measureBytes != (sent-int64(n))/measureBytes {
		m.measure()
	}
	return err //nolint:wrapcheck // the caller only tests for it
}

func (m *heapMeter) measure() {
	m.sending.Lock()
	defer m.sending.Unlock()
	// What becomes garbage during a collection is found by the next one.
	runtime.GC()
	runtime.GC()
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	m.peak = max(m.peak, max(now.HeapAlloc, m.base.HeapAlloc)-m.base.HeapAlloc)
}

// result returns by how much the reachable part of the heap grew at most, and how much was
// allocated.
func (m *heapMeter) result() (peak, allocated uint64) {
	m.sending.RLock()
	defer m.sending.RUnlock()
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	return m.peak, now.TotalAlloc - m.base.TotalAlloc
}

// TestEndless sends requests to servers whose responses do not end. budget is the memory for
// bodies, heap the most by which the reachable part of the heap may grow, and allocated the most
// that may be allocated, in MiB. The heap holds the budget, a copy of each body as its buffer
// grows, and 1 MiB for each request. Each request allocates buffers of twice the size up to the
// half of the budget and once that, and 1 MiB. The test guards against memory that grows with
// what a server sends, and against garbage.
func TestEndless(t *testing.T) {
	datadriven.RunTest(t, "testdata/endless", func(t *testing.T, d *datadriven.TestData) string {
		var clients, budgetMiB, heapMiB, allocatedMiB int
		d.ScanArgs(t, "clients", &clients)
		d.ScanArgs(t, "budget", &budgetMiB)
		d.ScanArgs(t, "heap", &heapMiB)
		d.ScanArgs(t, "allocated", &allocatedMiB)
		var out strings.Builder
		for kind := range strings.SplitSeq(d.Input, "\n") {
			budget := http1.NewBudget(int64(budgetMiB) << 20)
			meter := newHeapMeter()
			c := http1.NewClient(serveEndless(t, endlessResponses[kind], meter), time.Second, clients).WithBudget(budget)
			var failed atomic.Int32
			var group sync.WaitGroup
			for range clients {
				group.Go(func() {
					// Long enough for the bounds to be reached with the race detector.
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					if _, err := c.Do(ctx, newRequest("get")); errors.Is(err, http1.ErrResponseLost) && ctx.Err() == nil {
						failed.Add(1)
					}
				})
			}
			group.Wait()
			peak, allocated := meter.result()
			within := peak <= uint64(heapMiB)<<20 && allocated <= uint64(allocatedMiB)<<20
			fmt.Fprintf(&out, "%s: %d of %d failed before the deadline, heap within the limit: %t, memory returned: %t\n",
				kind, failed.Load(), clients, within, budget.Used() == 0)
			if !within {
				t.Logf("%s: the heap grew by %d KiB, and %d KiB were allocated", kind, peak>>10, allocated>>10)
			}
		}
		return out.String()
	})
}

// TestEndlessRequest sends requests that do not end to a server.
func TestEndlessRequest(t *testing.T) {
	address := freeAddress(t)
	budget := http1.NewBudget(4 << 20)
	server, err := http1.ListenPipelined(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, lease, err := budget.ReadBody(r.Body, r.ContentLength, 1<<20, nil)
		defer lease.Release()
		if errors.Is(err, http1.ErrBodyTooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), func(any, []byte) {}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	}()
	meter := newHeapMeter()
	for _, request := range [][2]string{
		{"GET /", "a"},
		{"GET / HTTP/1.1\r\nHost: h\r\nA: ", "a"},
		{"GET / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbody \r\n"},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000000000000000\r\n\r\n", "body "},
	} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		go func() {
			_, err := c.Write([]byte(request[0]))
			more := []byte(strings.Repeat(request[1], 1+(16<<10)/len(request[1])))
			for err == nil {
				_, err = c.Write(more)
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < http.StatusBadRequest || !resp.Close {
			t.Errorf("%.40q: %v, %v", request[0], resp, err)
		}
		_ = c.Close()
	}
	// One body of 1 MiB, its garbage, and 1 MiB for the heads.
	if _, allocated := meter.result(); allocated > 8<<20 {
		t.Errorf("allocated %d KiB", allocated>>10)
	}
}

// TestEndlessBeside guards against requests that fail for want of memory while servers send
// bodies without end to other requests of the same process.
func TestEndlessBeside(t *testing.T) {
	const others = 100
	body := strings.Repeat("b", 30<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "mine")
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	datadriven.RunTest(t, "testdata/beside", func(t *testing.T, d *datadriven.TestData) string {
		var clients, budgetMiB int
		d.ScanArgs(t, "clients", &clients)
		d.ScanArgs(t, "budget", &budgetMiB)
		var out strings.Builder
		for kind := range strings.SplitSeq(d.Input, "\n") {
			budget := http1.NewBudget(int64(budgetMiB) << 20)
			faulty := http1.NewClient(serveEndless(t, endlessResponses[kind], newHeapMeter()), time.Second, clients).WithBudget(budget)
			ctx, stop := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for range clients {
				group.Go(func() {
					for ctx.Err() == nil {
						_, _ = faulty.Do(ctx, newRequest("get"))
					}
				})
			}
			sound := http1.NewClient(strings.TrimPrefix(server.URL, "http://"), time.Second, 4).WithBudget(budget)
			failed := 0
			for range others {
				resp, err := sound.Do(ctx, newRequest("get"))
				if err != nil || len(resp.Body()) != len(body) {
					failed++
					continue
				}
				resp.Release()
				time.Sleep(2 * time.Millisecond)
			}
			stop()
			group.Wait()
			fmt.Fprintf(&out, "%s: %d of %d other requests failed, memory returned: %t\n", kind, failed, others, budget.Used() == 0)
		}
		return out.String()
	})
}
