package lock

// Rank is the position of a lock in the lock order. Locks of a lower rank are
// acquired first.
type Rank uint8

// The lock order of the whole code base. Two locks of the same rank, such as two
// shards of one table, are never held at the same time.
const (
	// Config orders the application of configuration changes and guards the decision
	// that completes the start of a daemon.
	Config Rank = iota + 1
	// Store guards the configuration versions and the adoption of a new one.
	Store
	// Replica guards the local copy of the operators' store.
	Replica
	// Members guards the membership view and the list of instances.
	Members
	// Allotments guards the allotments that this daemon lends from.
	Allotments
	// Borrowers guards the tokens that this daemon has borrowed.
	Borrowers
	// Plans guards the cached splits of customers' limits into allotments.
	Plans
	// Claims guards the records of requests that must run at most once.
	Claims
	// Quotas guards the tokens, leases and demand of customers.
	Quotas
	// Budgets guards the retry and resend budgets.
	Budgets
	// Calls guards the calls running at the backend server and its observed state.
	Calls
	// Gate guards the admission gate and queue.
	Gate
	// Quarantine guards the crash records of requests.
	Quarantine
	// Routes guards what this daemon has observed of the backend servers that it sends
	// requests to, and the state of its pushes to other daemons.
	Routes
	// Peers guards the clients of other daemons, and what of the machine's link is promised to
	// them.
	Peers
	// Connections guards the connections to other daemons and to HTTP servers.
	Connections
	// Memory guards the memory for bodies.
	Memory
	// Counters guards the counters of responses by customer.
	Counters
	// Logs guards the log buffer.
	Logs
	// Tasks guards the groups of goroutines.
	Tasks
)
