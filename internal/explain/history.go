package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
)

const (
	// maxLineBytes is the maximum length of a line. Daemons write far shorter lines.
	maxLineBytes = 1 << 20
	// dropWindow is the time before and after a request within which reports of dropped
	// lines are included. Daemons write their logs with a delay of this order.
	dropWindow = 500 * time.Millisecond
)

// entry is a log line with its parsed timestamp.
type entry struct {
	at   time.Time
	line *schema.LogLine
}

// History holds the log lines that concern one request.
type History struct {
	entries []entry
	// dropped holds the reports of dropped lines.
	dropped []entry
	// malformed holds an error for each line that could not be decoded. A process that is
	// killed may leave a truncated line.
	malformed []error
}

// Read selects the log lines that concern a request or its nested calls. It ignores text
// before the first brace of a line, such as the prefix of a log collector, and lines
// without a brace. The lines may be in any order.
func Read(r io.Reader, id string) (*History, error) {
	h := &History{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if err := h.add(scanner.Bytes(), id); err != nil {
			h.malformed = append(h.malformed, fmt.Errorf("line %d: %w", number, err))
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	byTime := func(a, b entry) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(h.entries, byTime)
	slices.SortStableFunc(h.dropped, byTime)
	return h, nil
}

// add decodes a line and adds it to the history if it concerns the request or reports
// dropped lines.
func (h *History) add(text []byte, id string) error {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(id)) && !bytes.Contains(text, []byte(logs.DroppedMessage)) &&
		!bytes.Contains(text, []byte(logs.FailedMessage)) {
		return nil
	}
	line := &schema.LogLine{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text[start:], line); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	matches := line.GetRequest() == id || strings.HasPrefix(line.GetRequest(), id+".")
	if !matches && line.GetText() != logs.DroppedMessage && line.GetText() != logs.FailedMessage {
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, line.GetTime())
	if err != nil {
		return fmt.Errorf("parse timestamp: %w", err)
	}
	if matches {
		h.entries = append(h.entries, entry{at: at, line: line})
	} else {
		h.dropped = append(h.dropped, entry{at: at, line: line})
	}
	return nil
}

// Found reports whether any log line concerns the request.
func (h *History) Found() bool { return len(h.entries) > 0 }

// droppedLines returns the number of lines dropped during the request, or in all if there
// is no line on the request itself.
func (h *History) droppedLines() int64 {
	var n int64
	for _, e := range h.dropped {
		// The lines were dropped in the time before the report. Reports of older daemons do not
		// state it; it is zero then.
		took, _ := time.ParseDuration(e.line.GetTook())
		if h.Found() && (e.at.Before(h.entries[0].at.Add(-dropWindow)) || e.at.Add(-took).After(h.entries[len(h.entries)-1].at.Add(dropWindow))) {
			continue
		}
		n += e.line.GetLines()
	}
	return n
}

// WriteTo writes the history, one line per decision with the time since the first one.
func (h *History) WriteTo(w io.Writer) (int64, error) {
	var b bytes.Buffer
	for _, e := range h.entries {
		fmt.Fprintf(&b, "%9.3fs  %-16s  %s\n", e.at.Sub(h.entries[0].at).Seconds(), e.line.GetDaemon(), describe(e.line))
	}
	if n := h.droppedLines(); n > 0 {
		fmt.Fprintf(&b, "%d log lines were dropped during this time; some of them may concern this request\n", n)
	}
	for _, err := range h.malformed {
		fmt.Fprintf(&b, "unreadable: %v\n", err)
	}
	n, err := b.WriteTo(w)
	if err != nil {
		return n, fmt.Errorf("write history: %w", err)
	}
	return n, nil
}
