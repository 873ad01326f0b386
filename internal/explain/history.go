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
	// lineMost bounds the bytes of a line; a daemon's are far shorter.
	lineMost = 1 << 20
	// around is how long before and after a request dropped lines may have told of
	// it: daemons write their logs with a delay of this order.
	around = 500 * time.Millisecond
)

// entry is a line with the instant at which it was written.
type entry struct {
	at   time.Time
	line *schema.LogLine
}

// History is what is known of one request.
type History struct {
	entries []entry
	// losses are the lines on lines that were dropped.
	losses []entry
	// unread says of each line that could not be read why: a process that is killed
	// may leave half a line.
	unread []error
}

// Read picks out of log lines those that tell of a request or its calls. Text before
// a line's first brace, such as a collector's, and lines that are no log lines are
// passed over. The order of the lines does not matter.
func Read(r io.Reader, id string) (*History, error) {
	h := &History{}
	in := bufio.NewScanner(r)
	in.Buffer(nil, lineMost)
	for number := 1; in.Scan(); number++ {
		if err := h.add(in.Bytes(), id); err != nil {
			h.unread = append(h.unread, fmt.Errorf("line %d: %w", number, err))
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	byTime := func(a, b entry) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(h.entries, byTime)
	slices.SortStableFunc(h.losses, byTime)
	return h, nil
}

func (h *History) add(text []byte, id string) error {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(id)) && !bytes.Contains(text, []byte(logs.DroppedMessage)) {
		return nil
	}
	line := &schema.LogLine{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text[start:], line); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	about := line.GetRequest() == id || strings.HasPrefix(line.GetRequest(), id+".")
	if !about && line.GetText() != logs.DroppedMessage {
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, line.GetTime())
	if err != nil {
		return fmt.Errorf("time of the line: %w", err)
	}
	if about {
		h.entries = append(h.entries, entry{at: at, line: line})
	} else {
		h.losses = append(h.losses, entry{at: at, line: line})
	}
	return nil
}

// Found says whether any line tells of the request.
func (h *History) Found() bool { return len(h.entries) > 0 }

// missing returns how many lines were dropped while the request was on its way.
func (h *History) missing() int64 {
	var n int64
	for _, e := range h.losses {
		if h.Found() && (e.at.Before(h.entries[0].at.Add(-around)) || e.at.After(h.entries[len(h.entries)-1].at.Add(around))) {
			continue
		}
		n += e.line.GetLines()
	}
	return n
}

// WriteTo writes the history, a line for each decision with its time from the first.
func (h *History) WriteTo(w io.Writer) (int64, error) {
	var b bytes.Buffer
	for _, e := range h.entries {
		fmt.Fprintf(&b, "%9.3fs  %-16s  %s\n", e.at.Sub(h.entries[0].at).Seconds(), e.line.GetDaemon(), describe(e.line))
	}
	if n := h.missing(); n > 0 {
		fmt.Fprintf(&b, "%d lines were dropped meanwhile; some of them may tell of this request\n", n)
	}
	for _, err := range h.unread {
		fmt.Fprintf(&b, "not read: %v\n", err)
	}
	n, err := b.WriteTo(w)
	if err != nil {
		return n, fmt.Errorf("write history: %w", err)
	}
	return n, nil
}
