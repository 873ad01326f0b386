// Package yaml converts between YAML and schema messages.
//
// Unmarshal reports syntax errors and validation errors together, each with file, line
// and column.
package yaml
