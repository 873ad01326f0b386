// Package yaml unmarshals YAML into schema messages.
//
// Syntax errors and validation errors are reported together, each with file, line
// and column.
package yaml
