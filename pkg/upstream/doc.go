// Package upstream chooses the backend server for a request.
//
// A daemon runs beside each backend server. It accepts requests from callers and
// sends each to the daemon beside the chosen backend server, which passes it on. This
// package makes the choice for one daemon.
//
// A Router chooses among the backend servers of a platform.Config and compares
// their loads as fractions of their capacities. A Balancer chooses among the
// instances of a fleet.Fleet and compares their expected latencies. A program uses
// the one that fits its source of backend servers.
//
// Both rate each backend server by what this daemon has observed itself: the
// requests that it has in flight there, and the load that the daemon beside the
// backend server reported with its latest response. Health that backend servers
// report about themselves is not used. The nearest data centre is preferred; a
// farther one is chosen once the load of the nearer one outweighs the cost of the
// distance, before queues build up.
//
// The way candidates are compared is a type parameter. A Router takes a Policy:
// LeastLoaded, or Random as the naive baseline for measurements. A Balancer takes a
// CostModel: LatencyCost, or UniformCost as the baseline.
//
// A RetryState decides whether a request may be sent to a further instance.
//
// Routers and Balancers are safe for concurrent use. The package reads no clock:
// callers pass in the current time.
package upstream
