// Package explain reconstructs the history of one request from the logs of any number of
// daemons: the decisions in chronological order, with their reasons.
//
// The calls that the backend server made while it ran a caller's request have ids that
// start with the id of that request and a dot. The history also reports how many log
// lines were dropped during the request, because it may be incomplete without them.
package explain
