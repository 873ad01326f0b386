package logs

import "github.com/hashicorp/go-hclog"

// NewLogger returns a logger that writes JSON lines to out and adds fields to each line.
func NewLogger(out *Writer, level hclog.Level, fields ...any) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "lycheehead",
		Level:      level,
		Output:     out,
		JSONFormat: true,
	}).With(fields...)
}
