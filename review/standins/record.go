package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// record writes what was sent, answered and run, one event a line with the time since the
// start. It also collects the breaches of the rule.
type record struct {
	mu       guard
	begin    time.Time
	file     *os.File
	w        *bufio.Writer
	breaches []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{mu: newGuard(), begin: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.lock()
	defer r.mu.unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  ", time.Since(r.begin).Seconds())
	_, _ = fmt.Fprintf(r.w, format+"\n", args...)
}

// breach records that the rule was broken.
func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.printf("RULE BROKEN: %s", text)
	r.mu.lock()
	defer r.mu.unlock()
	r.breaches = append(r.breaches, text)
}

func (r *record) breachCount() int {
	r.mu.lock()
	defer r.mu.unlock()
	return len(r.breaches)
}

func (r *record) close() {
	r.mu.lock()
	defer r.mu.unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
