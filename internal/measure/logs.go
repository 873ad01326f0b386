package measure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// versionLine is a log line. A line with the message "version" reports a version that a
// daemon put in force.
type versionLine struct {
	Time    time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Slot    string    `json:"slot"`
	Version uint64    `json:"version"`
}

// maxLineBytes bounds the length of a line in logs and results.
const maxLineBytes = 1 << 20

// PublishTimes maps version numbers to the times when the versions were published.
type PublishTimes map[uint64]time.Time

// ReadPublishTimes reads a file whose lines consist of a version number and a Unix time in
// nanoseconds.
func ReadPublishTimes(path string) (PublishTimes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read publish times: %w", err)
	}
	times := make(PublishTimes)
	for line := range strings.Lines(string(text)) {
		version, nanos, _ := strings.Cut(strings.TrimSpace(line), " ")
		v, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("read publish times: %w", err)
		}
		n, err := strconv.ParseInt(nanos, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("read publish times: %w", err)
		}
		times[v] = time.Unix(0, n)
	}
	return times, nil
}

// ConvergenceTimes reads the logs daemon-*.log in a directory. It returns, for each published
// version and each daemon, the time from its publication until it was in force there.
func ConvergenceTimes(dir string, published PublishTimes) ([]time.Duration, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "daemon-*.log"))
	if err != nil {
		return nil, fmt.Errorf("find logs: %w", err)
	}
	var all []time.Duration
	for _, path := range paths {
		times, err := daemonTimes(path, published)
		if err != nil {
			return nil, err
		}
		all = append(all, times...)
	}
	return all, nil
}

// daemonTimes returns the convergence times of one daemon. If a version was put in force
// several times, only the first time is used.
func daemonTimes(path string, published PublishTimes) ([]time.Duration, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer func() { _ = f.Close() }()
	var times []time.Duration
	seen := make(map[uint64]bool)
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var line versionLine
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Message != "version" || seen[line.Version] {
			continue
		}
		if at, ok := published[line.Version]; ok {
			seen[line.Version] = true
			times = append(times, line.Time.Sub(at))
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return times, nil
}
