package lock

// Rank is a lock's place in the order: a lower rank is taken first.
type Rank uint8

// The lock order of the whole code base. Two locks of the same rank, such as
// two shards of one table, are never held together.
const (
	// Config guards the decision that ends a daemon's start.
	Config Rank = iota + 1
	// Store guards the adoption of a version.
	Store
	// Replica guards the copy of the operators' store.
	Replica
	// Members guards the membership view.
	Members
	// Allotments guards the allotments that this daemon keeps.
	Allotments
	// Borrowers guards the tokens that this daemon has borrowed.
	Borrowers
	// Plans guards the splits that are kept.
	Plans
	// Claims guards the records of requests that run once.
	Claims
	// Quotas guards what customers have used of their limits.
	Quotas
	// Budgets guards the retry budgets.
	Budgets
	// Calls guards the calls that run at the backend server.
	Calls
	// Gate guards the admission queue.
	Gate
	// Quarantine guards the requests that are held after deaths.
	Quarantine
	// Routes guards what the router knows of backend servers.
	Routes
	// Peers guards the clients of other daemons.
	Peers
	// Connections guards the connections to other daemons.
	Connections
	// Logs guards the log's buffer.
	Logs
	// Tasks guards the groups of goroutines.
	Tasks
)
