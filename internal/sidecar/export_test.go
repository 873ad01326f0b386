package sidecar

// Waiting returns the number of requests that wait in the queue for the daemon's backend server.
func (d *Daemon) Waiting() int {
	_, waiting, _, _ := d.admission.queue.Load()
	return waiting
}
