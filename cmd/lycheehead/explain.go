package main

import (
	"fmt"
	"os"

	"github.com/lycheehead/lycheehead/internal/explain"
)

type explainCommand struct {
	ID string `arg:"" help:"ID of the request."`
}

// Run prints the history of a request from the logs on standard input.
func (c *explainCommand) Run() error {
	h, err := explain.Read(os.Stdin, c.ID)
	if err != nil {
		return withCode(exitInvalid, "explain: %w", err)
	}
	if _, err := h.WriteTo(os.Stdout); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if !h.Found() {
		return withCode(exitNegative, "no log line mentions request %s", c.ID)
	}
	return nil
}
