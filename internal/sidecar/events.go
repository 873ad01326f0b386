package sidecar

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// events logs one line for each decision on a request and for each change of the
// daemon's state.
type events struct {
	log hclog.Logger
	out *logs.Writer
}

func newEvents(out *logs.Writer, name, centre string) *events {
	return &events{log: logs.NewLogger(out, hclog.Debug, "daemon", name, "centre", centre), out: out}
}

// stateChange logs a change in the state of the daemon, or in its view of the store, the
// instances or other daemons.
func (e *events) stateChange(text string, args ...any) {
	if e.out.Allow(logs.StateChange) {
		e.log.Info(text, args...)
	}
}

// paused logs that the process did not run for a while.
func (e *events) paused(d time.Duration) { e.stateChange("process did not run", "took", d.String()) }

// panicked logs a panic. The process continues: the request or task that panicked has no
// result.
func (e *events) panicked(value any, stack []byte) {
	e.stateChange("panic", "value", fmt.Sprint(value), "stack", string(stack))
}

// spawn runs a task in a new goroutine. If it panics, that is logged and the process
// continues.
func (e *events) spawn(task func()) {
	go e.protect(task)
}

// protect runs a task and reports whether it returned without a panic.
func (e *events) protect(task func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			e.panicked(v, debug.Stack())
			ok = false
		}
	}()
	task()
	return true
}

// restartDelay is the time until a background task that panicked is started again.
const restartDelay = time.Second

// spawnLoop runs a task that lasts until ctx ends in a new goroutine, and starts it again
// if it panics.
func (e *events) spawnLoop(ctx context.Context, task func()) {
	go func() {
		for !e.protect(task) && ctx.Err() == nil {
			sleep(ctx, restartDelay)
		}
	}()
}

// request logs a decision on a request.
func (e *events) request(class logs.Class, text, id string, args ...any) {
	if !e.out.Allow(class) {
		return
	}
	args = append([]any{"request", id}, args...)
	if class != logs.Success {
		e.log.Warn(text, args...)
		return
	}
	e.log.Info(text, args...)
}

// classOf returns the class of the line that logs an outcome: Success if the request
// ran, Unknown if that is unknown, otherwise the given class.
func classOf(o caller.Outcome, otherwise logs.Class) logs.Class {
	switch o {
	case caller.OutcomeRan:
		return logs.Success
	case caller.OutcomeUnknown:
		return logs.Unknown
	}
	return otherwise
}
