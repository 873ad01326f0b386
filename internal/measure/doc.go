// Package measure computes from the output of a run how fast changes take effect, how much
// control traffic they cause, and which share of the requests is served while a data centre
// fails. The output consists of the report of the load tool and the logs and statuses of
// the daemons. Each result is a message Measure of the schema, written as a line of JSON.
package measure
