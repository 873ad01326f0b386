// Package upstream chooses the backend server for a request.
//
// A Router knows of each backend server what this daemon has seen itself: its
// requests in flight, and the load that the gate beside the backend server told
// with its last answer. Health that backend servers report of themselves plays
// no part. The nearest data centre comes first; another one is taken once the
// near one is loaded by more than the distance is worth, before queues grow.
//
// How candidates are compared is a type parameter: ByLoad is the product's
// policy, Random the naive one that it is measured against.
package upstream
