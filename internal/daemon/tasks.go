package daemon

import "sync"

// tasks are the goroutines of a daemon that its stop waits for.
type tasks struct {
	group sync.WaitGroup
}

func (t *tasks) start(f func()) { t.group.Go(f) }

func (t *tasks) wait() { t.group.Wait() }
