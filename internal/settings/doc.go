// Package settings reads a daemon's settings file.
//
// The file is YAML after the schema's message Settings. Every fault is reported
// at once, with file, line and column.
package settings
