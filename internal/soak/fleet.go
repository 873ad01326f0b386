package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// centres are the data centres of the instances.
var centres = []string{"north", "east", "west"}

// Ports of an instance, counted from the fleet's first port. Daemons between which there is a
// proxy listen at ports of their own for each other.
const (
	portOutbound = iota
	portReady
	portBackend
	portStore
	portInbound
	portControl = 100
	portStep    = 16
)

// instance is a backend server with the daemon beside it.
type instance struct {
	index                     int
	name, centre, service, ip string
	inbound, control          int
	// process is the daemon's current process, or nil while there is none. Who starts or ends
	// one holds processGuard.
	process      atomic.Pointer[process]
	processGuard guard
	starts       int
	// backend is guarded by backendGuard.
	backend      *backend
	backendGuard guard
	backends     int
	// log is the named pipe that the daemon writes to.
	log *logReader
}

// process is a run of a daemon.
type process struct {
	cmd      *exec.Cmd
	settings string
	// ended is closed when the process has ended, ready is set once it has been ready.
	ended chan struct{}
	ready atomic.Bool
	// stopped is set before the first SIGTERM, killed before SIGKILL.
	stopped, killed atomic.Bool
}

// guard is held by the step that uses a part of an instance, until it has ended. Unlike a
// mutex, it may be held for seconds.
type guard chan struct{}

func newGuard() guard { return make(guard, 1) }

func (g guard) acquire() { g <- struct{}{} }

func (g guard) release() { <-g }

func (i *instance) address(port int) string { return net.JoinHostPort(i.ip, strconv.Itoa(port)) }

// fleet is a small deployment.
type fleet struct {
	program, dir string
	journal      *journal
	port         int
	prefix       string
	store        *store
	// storeGuard is held while the store is restored.
	storeGuard guard
	instances  []*instance
	// links holds the proxies by the instances that they connect, if there are any.
	links      map[[2]int][]*link
	firstStart atomic.Bool
	closed     atomic.Bool
	// version is guarded by versionGuard.
	version      int
	versionGuard guard
}

// newFleet prepares a deployment in the folder dir.
func newFleet(program, dir string, size int, proxied bool, j *journal) (*fleet, error) {
	f := &fleet{program: program, dir: dir, journal: j, links: make(map[[2]int][]*link), versionGuard: newGuard(), storeGuard: newGuard()}
	f.firstStart.Store(true)
	l, err := f.listenForStore()
	if err != nil {
		return f, err
	}
	f.store = newStore(l)
	for n := range size {
		i := &instance{
			index: n, service: services[n%len(services)], centre: centres[(n+n/len(services))%len(centres)],
			ip: f.prefix + strconv.Itoa(n+1), inbound: f.port + portInbound, control: f.port + portControl,
			processGuard: newGuard(), backendGuard: newGuard(),
		}
		i.name = fmt.Sprintf("%s-%d", i.centre, n)
		if proxied {
			i.inbound, i.control = f.port+portInbound+1+n, f.port+portControl+portStep*(n+1)
		}
		f.instances = append(f.instances, i)
	}
	if proxied {
		if err := f.connect(); err != nil {
			return f, err
		}
	}
	for _, i := range f.instances {
		if i.log, err = newLogReader(filepath.Join(dir, i.name)); err != nil {
			return f, err
		}
		if err := f.startBackend(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addressAttempts is how many addresses are tried for the store.
const addressAttempts = 20

// listenForStore chooses loopback addresses for the fleet that no other program uses, and ports
// below those of outgoing connections.
func (f *fleet) listenForStore() (l net.Listener, err error) {
	for range addressAttempts {
		f.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		f.port = 20000 + rand.IntN(8000)
		if l, err = net.Listen("tcp", f.storeAddress()); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("listen for store: %w", err)
}

func (f *fleet) storeAddress() string { return f.prefix + "250:" + strconv.Itoa(f.port+portStore) }

// connect creates the proxies between all daemons.
func (f *fleet) connect() error {
	for _, from := range f.instances {
		for _, to := range f.instances {
			if from == to {
				continue
			}
			for _, ports := range [][2]int{{from.inbound, to.inbound}, {from.control, to.control}} {
				refused := func() { f.journal.disrupt(to.index, kindRefused, true)() }
				k, err := newLink(to.address(ports[0]), from.ip, to.address(ports[1]), refused)
				if err != nil {
					return err
				}
				pair := [2]int{from.index, to.index}
				f.links[pair] = append(f.links[pair], k)
			}
		}
	}
	return nil
}

// startBackend starts the next incarnation of a backend server and publishes it.
func (f *fleet) startBackend(i *instance) error {
	i.backends++
	b, err := startBackend(fmt.Sprintf("i-%s-%d", i.name, i.backends), i.index, i.address(f.port+portBackend), f.journal,
		func(id string, run int) bool { return f.call(i, id, run) })
	if err != nil {
		return err
	}
	i.backend = b
	return f.publish(i, "ready", 1)
}

func (f *fleet) publish(i *instance, state string, sequence int) error {
	return f.store.put("servers/"+i.backend.id, wireEntry{
		Address: i.address(f.port + portBackend), Born: i.backend.born.UnixMilli(),
		Info:   wireInfo{Service: i.service, Version: "v1", Centre: i.centre, Slots: backendSlots},
		Status: wireStatus{State: state, Sequence: sequence},
	})
}

// configure writes the next configuration version.
func (f *fleet) configure() error {
	f.versionGuard.acquire()
	defer f.versionGuard.release()
	f.version++
	return f.writeVersion(hasExtraRoute(f.version))
}

// writeVersion writes the current version. The caller holds versionGuard.
func (f *fleet) writeVersion(extra bool) error {
	defer f.journal.release(extra)()
	return f.store.put(configKey, configuration(f.version, extra))
}

// reconfigure writes a version that the store has lost again, with other content, unless there is
// a later one.
func (f *fleet) reconfigure(version int) error {
	f.versionGuard.acquire()
	defer f.versionGuard.release()
	if f.version != version {
		return nil
	}
	return f.writeVersion(!hasExtraRoute(version))
}

// startDaemon starts an instance's daemon and waits until it is ready.
func (f *fleet) startDaemon(i *instance) error {
	i.starts++
	p := &process{settings: filepath.Join(f.dir, fmt.Sprintf("%s.%d.conf", i.name, i.starts)), ended: make(chan struct{})}
	if err := os.WriteFile(p.settings, f.settings(i, ""), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	out, err := i.log.openWriter()
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	stderr, err := os.OpenFile(filepath.Join(f.dir, i.name+".stderr"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create file for standard error: %w", err)
	}
	defer func() { _ = stderr.Close() }()
	p.cmd = exec.Command(f.program, "sidecar")
	p.cmd.Stdout, p.cmd.Stderr = out, stderr
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEEHEAD_NODE_FILE=" + p.settings}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	i.process.Store(p)
	f.journal.disrupt(i.index, kindStart, true)()
	go f.watch(i, p)
	return f.awaitReady(i, p)
}

// watch waits for the end of a daemon. One that ends by itself is a breach, and is started
// again.
func (f *fleet) watch(i *instance, p *process) {
	err := p.cmd.Wait()
	i.process.CompareAndSwap(p, nil)
	close(p.ended)
	if p.killed.Load() || p.stopped.Load() && err == nil {
		return
	}
	end := f.journal.disrupt(i.index, kindOwnEnd, false)
	defer end()
	f.journal.report(breach{"ENDED", fmt.Sprintf("the daemon of instance %d (%s, process %d) ended by itself: %v", i.index, i.name, p.cmd.Process.Pid, err)}, p.settings)
	i.processGuard.acquire()
	defer i.processGuard.release()
	f.restartDaemon(i)
}

// restartDaemon starts a daemon that has ended. The caller holds the process guard.
func (f *fleet) restartDaemon(i *instance) {
	time.Sleep(restartDelay)
	if i.process.Load() != nil || f.closed.Load() {
		return
	}
	if err := f.startDaemon(i); err != nil {
		f.journal.report(breach{"START", fmt.Sprintf("instance %d: %v", i.index, err)}, fmt.Sprint("start", i.index, i.starts))
	}
}

const (
	// restartDelay is the time between the end of a daemon and its next start.
	restartDelay = 200 * time.Millisecond
	// readyTimeout is how long a daemon may take to become ready, also in a busy fleet.
	readyTimeout = 20 * time.Second
)

var errNotReady = errors.New("daemon is not ready")

// awaitReady waits until a daemon says that it is ready, or has ended.
func (f *fleet) awaitReady(i *instance, p *process) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-p.ended:
			return nil
		case <-timeout.C:
			return fmt.Errorf("%s after %s: %w", i.name, readyTimeout, errNotReady)
		case <-ticker.C:
		}
		resp, err := client.Get("http://" + i.address(f.port+portReady) + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			p.ready.Store(true)
			return nil
		}
	}
}

// signal sends a signal to a daemon that is running.
func (i *instance) signal(p *process, s syscall.Signal) {
	// The process has ended if this fails.
	_ = p.cmd.Process.Signal(s)
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	f.closed.Store(true)
	for _, i := range f.instances {
		if p := i.process.Load(); p != nil {
			p.killed.Store(true)
			i.signal(p, syscall.SIGKILL)
			<-p.ended
		}
		if i.backend != nil {
			i.backend.close()
		}
		if i.log != nil {
			i.log.close()
		}
	}
	for _, list := range f.links {
		for _, k := range list {
			k.close()
		}
	}
	if f.store != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// The daemons are gone, so that no request is worth waiting for.
		_ = f.store.server.Shutdown(ctx)
	}
}

// logReader reads the log of a daemon from a named pipe into a file.
type logReader struct {
	pipe string
	file *os.File
	// reader is the open end of the pipe. At most one step uses it at a time.
	reader *os.File
	paused atomic.Pointer[chan struct{}]
}

func newLogReader(name string) (*logReader, error) {
	l := &logReader{pipe: name + ".pipe"}
	if err := unix.Mkfifo(l.pipe, 0o600); err != nil {
		return nil, fmt.Errorf("create log pipe: %w", err)
	}
	var err error
	if l.file, err = os.Create(name + ".log"); err != nil {
		return nil, fmt.Errorf("create log file: %w", err)
	}
	return l, l.open()
}

// openWriter returns the end of the pipe for a new process.
func (l *logReader) openWriter() (*os.File, error) {
	// Without a reader, a pipe cannot be opened for writing only.
	hold, err := os.OpenFile(l.pipe, os.O_RDWR|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("open log pipe: %w", err)
	}
	defer func() { _ = hold.Close() }()
	out, err := os.OpenFile(l.pipe, os.O_WRONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("open log pipe: %w", err)
	}
	// Programs get a blocking pipe as their standard output.
	if err := unix.SetNonblock(int(out.Fd()), false); err != nil {
		return nil, errors.Join(fmt.Errorf("open log pipe: %w", err), out.Close())
	}
	return out, nil
}

// open begins to read.
func (l *logReader) open() error {
	reader, err := os.OpenFile(l.pipe, os.O_RDONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		return fmt.Errorf("open log pipe: %w", err)
	}
	l.reader = reader
	go l.read(reader)
	return nil
}

// idleReadInterval is the interval of reads while no process has the pipe open.
const idleReadInterval = 50 * time.Millisecond

func (l *logReader) read(reader *os.File) {
	buf := make([]byte, forwardSize)
	for {
		n, err := reader.Read(buf)
		if n > 0 {
			if _, err := l.file.Write(buf[:n]); err != nil {
				fmt.Println("soak: write log:", err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			time.Sleep(idleReadInterval)
		case err != nil:
			return
		}
		if paused := l.paused.Load(); paused != nil {
			<-*paused
		}
	}
}

// pause stops reading and returns the function that goes on.
func (l *logReader) pause() (end func()) {
	paused := make(chan struct{})
	l.paused.Store(&paused)
	return func() {
		l.paused.Store(nil)
		close(paused)
	}
}

// leave closes the reader's end of the pipe.
func (l *logReader) leave() { _ = l.reader.Close() }

func (l *logReader) close() {
	l.leave()
	_ = l.file.Close()
}
