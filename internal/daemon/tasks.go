package daemon

import "github.com/lycheehead/lycheehead/pkg/workers"

// tasks are the goroutines that Close waits for.
type tasks struct {
	group *workers.Group
}

func (t *tasks) start(f func()) { t.group.Go(f) }

func (t *tasks) wait() { t.group.Close() }
