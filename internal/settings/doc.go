// Package settings parses and validates a daemon's settings file.
//
// The file is YAML that follows the schema message Settings. All faults are
// reported together, each with file, line and column.
package settings
