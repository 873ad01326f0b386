// Package explain reconstructs the history of one request from the logs of any number of
// daemons: the decisions in chronological order, with their reasons.
//
// The id of a request is the one that its caller received. The nested calls that the
// backend server made while it ran the request have ids that consist of this id, a dot
// and a suffix. The history also reports how many log lines were dropped during the
// request, because it may be incomplete without them.
package explain
