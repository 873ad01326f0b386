// Package explain puts together what the logs of any number of daemons tell of one
// request: the decisions in their order, with the reasons in plain words.
//
// A request's id is a caller's; the calls that the backend server made while it ran
// the request have ids that begin with it and a dot. Lines that were dropped while
// the request was on its way are told, since its history may lack them.
package explain
