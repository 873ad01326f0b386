// Package upstream chooses the backend server for a request.
//
// A Router and a Balancer judge each backend server by what this daemon has
// observed itself: the requests that it has in flight there, and the load that the
// daemon beside the backend server reported with its latest response. Health that
// backend servers report about themselves is not used. The nearest data centre is
// preferred; a farther one is chosen once the load of the nearer one outweighs the
// cost of the distance, before queues build up.
//
// The way candidates are compared is a type parameter: LeastLoaded is the Router's
// policy, and Random the naive baseline for measurements. A Balancer takes a
// CostModel instead.
package upstream
