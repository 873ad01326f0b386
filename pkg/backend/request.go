package backend

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// Request describes a request to a Queue.
type Request struct {
	priority  caller.Priority
	class     string
	objective time.Time
	deadline  time.Time
}

// NewRequest returns a request. The class groups requests that take about the same
// time, such as those on one route. The objective is the time by which the request
// should be answered, the deadline the time after which an answer is of no use to
// the caller.
func NewRequest(priority caller.Priority, class string, objective, deadline time.Time) Request {
	return Request{priority: priority, class: class, objective: objective, deadline: deadline}
}

// need returns what the request needs if it occupies a slot for work.
func (r Request) need(work time.Duration) caller.Need {
	return caller.NewNeed(r.priority, r.objective, r.deadline, work)
}
