// Package yaml reads YAML texts into the schema's messages.
//
// Faults of the text and faults that a check finds are reported together, each
// with file, line and column.
package yaml
