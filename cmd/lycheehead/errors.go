package main

import (
	"errors"
	"fmt"
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without the exit code.
func (e *exitError) Unwrap() error { return e.err }

// withCode returns an error with an exit code.
func withCode(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailure
}
