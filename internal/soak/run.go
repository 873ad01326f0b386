package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Options select a soak.
type Options struct {
	program string
	seed    uint64
	size    int
	length  time.Duration
	lanes   []string
	load    Load
}

// NewOptions returns the options of a soak of the program at a path, with a number of instances
// and a duration. The schedule is limited to the lanes with the given names, if there are any.
func NewOptions(program string, seed uint64, size int, length time.Duration, load Load, lanes ...string) Options {
	return Options{program: program, seed: seed, size: size, length: length, load: load, lanes: lanes}
}

// Load is how many callers each instance has and how long they pause at most between requests.
type Load struct {
	callers int
	pause   time.Duration
}

// NewLoad returns a load.
func NewLoad(callers int, pause time.Duration) Load { return Load{callers: callers, pause: pause} }

// String describes the load.
func (l Load) String() string {
	return fmt.Sprintf("%d callers an instance, pauses up to %s", l.callers, l.pause)
}

// Run plays a soak and prints the breaches of rules and a summary. It returns how often each
// rule was broken. The logs of the daemons are kept if any was.
func Run(o Options, out io.Writer) (broken map[string]int, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	report, err := os.Create(filepath.Join(dir, "report"))
	if err != nil {
		return nil, fmt.Errorf("create report: %w", err)
	}
	broken, err = playIn(o, dir, io.MultiWriter(out, report))
	err = errors.Join(err, report.Close())
	if err != nil || len(broken) > 0 {
		_, _ = fmt.Fprintf(out, "logs are kept in %s; history of a request: cat %s/*.log | lycheehead explain ID\n", dir, dir)
		return broken, err
	}
	if err := os.RemoveAll(dir); err != nil {
		return nil, fmt.Errorf("remove folder: %w", err)
	}
	return broken, nil
}

// playIn plays a soak with the logs in a folder.
func playIn(o Options, dir string, out io.Writer) (broken map[string]int, err error) {
	p := newPlan(o.seed, o.size, o.length, o.lanes)
	title := fmt.Sprintf("seed %d, %d instances, %s, %s, lanes %s", o.seed, o.size, o.length, o.load, strings.Join(p.lanes, " "))
	_, _ = fmt.Fprintln(out, "soak:", title)
	j := newJournal(time.Now(), out)
	f, err := newFleet(o.program, dir, o.size, slices.Contains(p.lanes, laneNetwork), j)
	if err == nil {
		err = f.play(o, p)
	}
	f.close()
	return j.summarize(title), err
}

// Schedule returns the schedule of a soak.
func Schedule(o Options) string { return newPlan(o.seed, o.size, o.length, o.lanes).String() }

// play starts the fleet and the callers, and carries out a schedule.
func (f *fleet) play(o Options, p plan) error {
	if err := f.configure(); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	f.firstStart.Store(false)
	begin := f.journal.now()
	end := make(chan struct{})
	var callers, steps sync.WaitGroup
	for _, i := range f.instances {
		for n := range o.load.callers {
			c := newCaller(f, i, n, o)
			callers.Go(func() { c.run(end) })
		}
	}
	for _, s := range p.steps {
		time.Sleep(begin + s.at - f.journal.now())
		steps.Go(func() { f.do(s) })
	}
	time.Sleep(begin + o.length - f.journal.now())
	steps.Wait()
	close(end)
	callers.Wait()
	f.journal.finish()
	return nil
}

// startAll starts all daemons at once.
func (f *fleet) startAll() error {
	errs := make([]error, len(f.instances))
	var started sync.WaitGroup
	for n, i := range f.instances {
		started.Go(func() { errs[n] = f.startDaemon(i) })
	}
	started.Wait()
	return errors.Join(errs...)
}

// do carries out a step.
func (f *fleet) do(s step) {
	f.journal.note(s.String())
	switch s.kind {
	case stepStops:
		for range s.count {
			f.must(s, f.configure())
			time.Sleep(s.gap / 4)
		}
	case stepVersion:
		for range s.count {
			f.must(s, f.configure())
			time.Sleep(s.gap)
		}
		return
	case stepRestore:
		f.must(s, f.restore(s))
		return
	}
	var each sync.WaitGroup
	for _, n := range s.instances {
		each.Go(func() { f.must(s, f.doAt(s, f.instances[n])) })
	}
	each.Wait()
}

// must reports a step that could not be carried out.
func (f *fleet) must(s step, err error) {
	if err != nil {
		f.journal.report(breach{"STEP", fmt.Sprintf("%s: %v", s, err)}, s.String())
	}
}

// doAt carries out a step at an instance.
func (f *fleet) doAt(s step, i *instance) error {
	switch s.kind {
	case stepStop, stepAgain, stepStops:
		f.stop(s, i)
	case stepKill:
		f.kill(i)
	case stepHup, stepHalf:
		return f.reload(s, i)
	case stepFreeze:
		f.freeze(s, i)
	case stepAway:
		defer f.journal.disrupt(i.index, s.kind, true)()
		i.log.leave()
		time.Sleep(s.length)
		return i.log.open()
	case stepFull:
		defer f.journal.disrupt(i.index, s.kind, true)()
		defer i.log.pause()()
		time.Sleep(s.length)
	case stepRestart, stepCrash:
		return f.restartBackend(s, i)
	case stepDelay, stepReset, stepSilence:
		f.disturb(s, i)
	}
	return nil
}

// stop stops a daemon and starts it again.
func (f *fleet) stop(s step, i *instance) {
	i.processGuard.acquire()
	defer i.processGuard.release()
	p := i.process.Load()
	if p == nil {
		return
	}
	end := f.journal.disrupt(i.index, kindStop, true)
	p.stopped.Store(true)
	i.signal(p, syscall.SIGTERM)
	begin := time.Now()
	if s.kind == stepAgain {
		time.Sleep(s.length)
		i.signal(p, syscall.SIGTERM)
		for range s.count {
			time.Sleep(s.gap)
			i.signal(p, syscall.SIGHUP)
		}
	}
	select {
	case <-p.ended:
	case <-time.After(grace - time.Since(begin)):
		if !f.journal.disturbed(i.index, grace) {
			f.journal.report(breach{"STOP", fmt.Sprintf("instance %d (%s) still ran %s after SIGTERM", i.index, i.name, grace)}, p.settings)
		}
		p.killed.Store(true)
		i.signal(p, syscall.SIGKILL)
		<-p.ended
	}
	end()
	f.restartDaemon(i)
}

func (f *fleet) kill(i *instance) {
	i.processGuard.acquire()
	defer i.processGuard.release()
	p := i.process.Load()
	if p == nil {
		return
	}
	defer f.journal.disrupt(i.index, "kill", false)()
	p.killed.Store(true)
	i.signal(p, syscall.SIGKILL)
	<-p.ended
	f.restartDaemon(i)
}

// freeze stops a process for a while, whether or not it is about to end.
func (f *fleet) freeze(s step, i *instance) {
	p := i.process.Load()
	if p == nil {
		return
	}
	defer f.journal.disrupt(i.index, "freeze", false)()
	i.signal(p, syscall.SIGSTOP)
	time.Sleep(s.length)
	i.signal(p, syscall.SIGCONT)
}

// reload changes the settings of a daemon several times. A daemon that is starting does not
// handle SIGHUP yet.
func (f *fleet) reload(s step, i *instance) error {
	p := i.process.Load()
	if p == nil || !p.ready.Load() {
		return nil
	}
	defer f.journal.disrupt(i.index, s.kind, true)()
	for n := range s.count {
		text := f.settings(i, fmt.Sprintf("%s%d", f.prefix, n+1))
		if s.kind == stepHalf {
			text = text[:len(text)*(n+1)/(s.count+1)]
		}
		if err := os.WriteFile(p.settings, text, 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		i.signal(p, syscall.SIGHUP)
		time.Sleep(s.gap)
	}
	if err := os.WriteFile(p.settings, f.settings(i, ""), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	i.signal(p, syscall.SIGHUP)
	return nil
}

// restartBackend ends a backend server, after it has announced that unless it crashes, and
// starts its next incarnation.
func (f *fleet) restartBackend(s step, i *instance) error {
	i.backendGuard.acquire()
	defer i.backendGuard.release()
	if s.kind == stepRestart {
		if err := f.publish(i, "draining", 2); err != nil {
			return err
		}
		i.backend.announced.Store(int64(f.journal.now()))
		time.Sleep(drain)
	}
	defer f.journal.disrupt(i.index, "backend server ends", false)()
	i.backend.close()
	id := i.backend.id
	if s.kind == stepCrash {
		time.Sleep(s.length)
	}
	f.store.Remove("servers/" + id)
	return f.startBackend(i)
}

// disturb uses the proxies of all connections from and to an instance.
func (f *fleet) disturb(s step, i *instance) {
	defer f.journal.disrupt(i.index, s.kind, false)()
	var ends []func()
	for pair, list := range f.links {
		if pair[0] != i.index && pair[1] != i.index {
			continue
		}
		for _, k := range list {
			switch s.kind {
			case stepReset:
				k.resetAll()
			case stepDelay:
				k.setDelay(s.gap)
				ends = append(ends, func() { k.setDelay(0) })
			case stepSilence:
				direction := 0
				if (pair[0] == i.index) == s.reverse {
					direction = 1
				}
				ends = append(ends, k.silence(direction))
			}
		}
	}
	if len(ends) > 0 {
		time.Sleep(s.length)
	}
	for _, end := range ends {
		end()
	}
}
