// Package measure works out the brief's measures from what a run left behind:
// the load tool's report, the daemons' logs and their statuses. Results are JSON
// lines after the schema's message Measure.
package measure
