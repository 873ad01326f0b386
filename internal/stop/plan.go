package stop

import (
	"time"

	"github.com/lycheehead/lycheehead/internal/suspend"
)

const (
	// exitBeforeEnd is how long before the end of the grace time the process ends at the
	// latest, even if requests are still open.
	exitBeforeEnd = 250 * time.Millisecond
	// answerBeforeExit is how long before that the last response is due. It is the time
	// for writing responses and closing connections.
	answerBeforeExit = 150 * time.Millisecond
	// giveUpBeforeExit is how long before that requests that are still open are given up, which
	// leaves time to tell their callers.
	giveUpBeforeExit = 75 * time.Millisecond
)

// Plan holds the times of a planned stop, by the clock of a suspend.Monitor. Use NewPlan to
// create one.
type Plan struct {
	delay             time.Duration
	begin, last, exit time.Time
}

// NewPlan returns the plan of a process that handles the signal to stop now. The grace time
// counts from the signal, which may have waited while the process did not run.
func NewPlan(m *suspend.Monitor, grace time.Duration) Plan {
	// The signal may also have come at the end of a long pause, so a part of the time is kept.
	delay := min(m.Delay(), grace/2)
	begin := m.Now().Add(-delay)
	exit := begin.Add(grace - exitBeforeEnd)
	return Plan{delay: delay, begin: begin, last: exit.Add(-answerBeforeExit), exit: exit}
}

// Delay returns how late the signal may have been handled.
func (p Plan) Delay() time.Duration { return p.delay }

// Begin returns the time of the signal.
func (p Plan) Begin() time.Time { return p.begin }

// Last returns the time at which the last response is due.
func (p Plan) Last() time.Time { return p.last }

// GiveUp returns the time at which requests that are still open are given up.
func (p Plan) GiveUp() time.Time { return p.exit.Add(-giveUpBeforeExit) }

// Exit returns the time at which connections are closed even if requests are still open.
func (p Plan) Exit() time.Time { return p.exit }
