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

// applied is a log line that tells of a version put in force.
type applied struct {
	At      time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Slot    string    `json:"slot"`
	Version uint64    `json:"version"`
}

// lineMost is the longest log line in bytes.
const lineMost = 1 << 20

// PublishTimes maps version numbers to when they were published.
type PublishTimes map[uint64]time.Time

// ReadPublishTimes reads lines of a version and nanoseconds since the epoch.
func ReadPublishTimes(path string) (PublishTimes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read times: %w", err)
	}
	out := make(PublishTimes)
	for line := range strings.Lines(string(text)) {
		version, nanos, _ := strings.Cut(strings.TrimSpace(line), " ")
		v, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("read times: %w", err)
		}
		n, err := strconv.ParseInt(nanos, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("read times: %w", err)
		}
		out[v] = time.Unix(0, n)
	}
	return out, nil
}

// ConvergenceTimes returns, from the daemons' logs in a folder, how long each
// published version took to be in force at each daemon.
func ConvergenceTimes(folder string, p PublishTimes) ([]time.Duration, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "daemon-*.log"))
	if err != nil {
		return nil, fmt.Errorf("find logs: %w", err)
	}
	var all []time.Duration
	for _, path := range paths {
		took, err := convergence(path, p)
		if err != nil {
			return nil, err
		}
		all = append(all, took...)
	}
	return all, nil
}

func convergence(path string, p PublishTimes) ([]time.Duration, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer func() { _ = f.Close() }()
	var took []time.Duration
	seen := make(map[uint64]bool)
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		var a applied
		if json.Unmarshal(lines.Bytes(), &a) != nil || a.Message != "version" || seen[a.Version] {
			continue
		}
		if at, ok := p[a.Version]; ok {
			seen[a.Version] = true
			took = append(took, a.At.Sub(at))
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return took, nil
}
