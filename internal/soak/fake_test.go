//go:build soak

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httputil"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestFakes plays soaks of daemons that have a fault, and prints which rules each of them
// broke. Its input lists the faults.
func TestFakes(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/fakes", func(t *testing.T, d *datadriven.TestData) string {
		faults := strings.Fields(d.Input)
		lines := make([]string, len(faults))
		var played sync.WaitGroup
		for n, fault := range faults {
			program := filepath.Join(t.TempDir(), fault)
			if err := os.Symlink(self, program); err != nil {
				t.Fatal(err)
			}
			o := options(t, d, program)
			played.Go(func() { lines[n] = fmt.Sprintf("%s: %s\n", fault, playFake(t, o)) })
		}
		played.Wait()
		return strings.Join(lines, "")
	})
}

// playFake returns the names of the rules that a soak found to be broken.
func playFake(t *testing.T, o Options) string {
	var out bytes.Buffer
	broken, err := playIn(o, t.TempDir(), &out)
	if err != nil {
		t.Errorf("%s: %v\n%s", o.program, err, out.String())
	}
	if len(broken) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(maps.Keys(broken)), " ")
}

// fake is a daemon that passes requests on to a backend server of the right service, with a
// fault in one of some requests.
type fake struct {
	fault    string
	settings map[string]string
	mu       sync.Mutex
	requests int
}

func runFake(fault string) error {
	text, err := os.ReadFile(os.Getenv("LYCHEEHEAD_NODE_FILE"))
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	f := &fake{fault: fault, settings: make(map[string]string)}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		f.settings[name] = value
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	signal.Ignore(syscall.SIGHUP)
	ended := make(chan error, 2)
	ready := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	go func() { ended <- http.ListenAndServe(f.settings["listen.readiness"], ready) }()
	server := http.Server{Addr: f.settings["listen.outbound"], Handler: f}
	go func() { ended <- server.ListenAndServe() }()
	if fault == "dying" {
		time.Sleep(time.Second)
		return errors.New("fault")
	}
	for {
		select {
		case err := <-ended:
			return fmt.Errorf("listen: %w", err)
		case <-stop:
		}
		if fault != "deaf" {
			return server.Shutdown(context.Background())
		}
	}
}

// faultInterval is how many requests have one with the fault.
const faultInterval = 10

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.requests++
	fault := f.fault
	if f.requests%faultInterval != 0 {
		fault = ""
	}
	f.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.fault == "late" {
		select {
		case <-r.Context().Done():
			time.Sleep(goneBound * 3 / 2)
			r = r.WithContext(context.WithoutCancel(r.Context()))
		case <-time.After(leaveWithin):
		}
	}
	if r.Host == hostExtra && f.fault != "stale" && !f.hasExtraRoute() {
		http.NotFound(w, r)
		return
	}
	address := f.backend(r.Host)
	if address == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	forward := func(w http.ResponseWriter, body []byte) {
		p := httputil.ReverseProxy{Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.Scheme, p.Out.URL.Host = "http", address
			p.Out.Header.Set(fieldService, f.settings["service"])
			p.Out.Header.Del("Authorization")
			p.Out.Header.Del(fieldCustomer)
			for customer, key := range customerKeys {
				if strings.HasSuffix(r.Header.Get("Authorization"), key) {
					p.Out.Header.Set(fieldCustomer, customer)
				}
			}
			p.Out.Body, p.Out.ContentLength, p.Out.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
		}}
		p.ServeHTTP(w, r)
	}
	if f.fault == "lavish" && strings.HasSuffix(r.Header.Get("Authorization"), customerKeys[customerLimited]) {
		// One request is enough to exceed the limit.
		r = r.WithContext(context.WithoutCancel(r.Context()))
		for range 2 * backendSlots {
			go func() {
				for range 10 {
					forward(newBlank(), body)
				}
			}()
		}
	}
	switch fault {
	case "cutting":
		forward(newBlank(), body)
		panic(http.ErrAbortHandler)
	case "idle":
		time.Sleep(2 * lost)
		panic(http.ErrAbortHandler)
	case "unsent":
		w.WriteHeader(http.StatusBadGateway)
	case "repeating":
		forward(newBlank(), body)
		forward(w, body)
	case "refusing":
		forward(newBlank(), body)
		w.WriteHeader(http.StatusServiceUnavailable)
	case "denying":
		w.WriteHeader(http.StatusForbidden)
	case "mixing":
		w.Header().Set(fieldSeal, "another")
		_, _ = io.WriteString(w, "another response")
	case "changing":
		forward(w, append(body, 'x'))
	default:
		forward(w, body)
	}
}

// backend returns the address of a backend server of the service to which a host leads.
func (f *fake) backend(host string) string {
	service := services[0]
	switch host {
	case hostBook:
		service = services[1]
	case hostUpload, hostCall:
		service = services[2]
	}
	resp, err := http.Get("http://" + f.settings["provider.address"] + "/kv-range?prefix=servers/")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var page struct{ Items []storeValue }
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return ""
	}
	for _, i := range page.Items {
		var e wireEntry
		if err := json.Unmarshal(i.Value, &e); err != nil || e.Info.Service != service {
			continue
		}
		if e.Status.State == "ready" || f.fault == "draining" {
			return e.Address
		}
	}
	return ""
}

// hasExtraRoute reports whether the version in force has the extra route.
func (f *fake) hasExtraRoute() bool {
	resp, err := http.Get("http://" + f.settings["provider.address"] + "/kv-key?key=op/config")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var item storeValue
	err = json.NewDecoder(resp.Body).Decode(&item)
	return err == nil && bytes.Contains(item.Value, []byte(hostExtra))
}

// storeValue is the part of an item of the store that a fake reads.
type storeValue struct{ Value []byte }

// blank is a response that nobody reads.
type blank struct{ header http.Header }

func newBlank() blank { return blank{make(http.Header)} }

func (b blank) Header() http.Header         { return b.header }
func (b blank) Write(p []byte) (int, error) { return len(p), nil }
func (b blank) WriteHeader(int)             {}
