package main

import (
	"errors"
	"fmt"
)

// coded is an error with the exit code that it ends the process with.
type coded struct {
	code int
	err  error
}

// Error implements error.
func (c *coded) Error() string { return c.err.Error() }

// Unwrap returns the error without the code.
func (c *coded) Unwrap() error { return c.err }

// withCode gives an error an exit code.
func withCode(code int, format string, args ...any) error {
	return &coded{code: code, err: fmt.Errorf(format, args...)}
}

func codeOf(err error) int {
	var c *coded
	if errors.As(err, &c) {
		return c.code
	}
	return exitFault
}
