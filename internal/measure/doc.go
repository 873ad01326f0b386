// Package measure computes the measures of the brief from the output of a run: the report
// of the load tool, and the logs and statuses of the daemons. Results are JSON lines of
// the message Measure of the schema.
package measure
