package customer

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// Limit is a customer's limit over a number of data centres.
type Limit struct {
	name        string
	rate, burst float64
	centres     int
}

// NewLimit returns the limit of a customer with a rate per second and a burst,
// in a deployment of so many data centres. Where their number is not known, 0,
// none owns a part.
func NewLimit(name string, rate, burst float64, centres int) Limit {
	return Limit{name: name, rate: rate, burst: burst, centres: centres}
}

const (
	// leaseTerm is how long a granted part holds without being renewed. Whoever
	// granted it gives it to nobody else before.
	leaseTerm = 12 * time.Second
	// demandHalfLife is how fast former demand loses weight.
	demandHalfLife = 2 * time.Second
	// reportFrom is the part of what a data centre owns from which on its demand
	// is reported, to be leased more.
	reportFrom = 0.6
	// lentFor is how long lent tokens may be spent.
	lentFor = 300 * time.Millisecond
)

// used is what a daemon that keeps a customer's limit for its data centre knows
// of the customer.
type used struct {
	bucket bucket
	// demand is a decaying count of the tokens that were asked for.
	demand  float64
	asked   time.Time
	part    float64
	granted time.Time
	// owned is the rate of the part that the data centre owns.
	owned float64
	// dry is until when the reserve is not asked.
	dry time.Time
}

func (u *used) partAt(now time.Time) float64 {
	if now.Sub(u.granted) >= leaseTerm {
		return 0
	}
	return u.part
}

// rate returns the tokens per second that were asked for lately.
func (u *used) rate(now time.Time) float64 {
	if u.asked.IsZero() {
		return 0
	}
	return decay(u.demand, now.Sub(u.asked), demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
}

// Quota lends the tokens of a data centre's part of each customer's limit. One
// daemon of the data centre keeps a customer's bucket. It fills at the part that
// the data centre owns and at what is leased to this daemon beyond. Buckets begin
// empty, so a daemon that restarts and forgets what it lent exceeds nothing. Make
// one with NewQuota.
type Quota struct {
	window    Window
	customers *table.Table[string, used]
}

// NewQuota returns the quota of a daemon that starts.
func NewQuota(w Window) *Quota {
	return &Quota{window: w, customers: table.New[string, used](lock.Quotas)}
}

// Lend lends up to n tokens of a customer's limit. since is when this daemon
// began to keep the limit for its data centre, or zero where it does not: it then
// lends of its lease alone. Where it has none, reserve says whether the reserve
// may have one.
func (q *Quota) Lend(now time.Time, l Limit, since time.Time, n int) (g Grant, reserve bool) {
	f := q.window.flow(l)
	q.customers.Update(l.name, func(u used, _ bool) (used, bool) {
		u.demand, u.asked = decay(u.demand, now.Sub(u.asked), demandHalfLife)+1, now
		part := u.partAt(now)
		u.owned = 0
		if !since.IsZero() {
			part += f.fixed
			u.owned = f.fixed * f.rate
			if u.bucket.last.Before(since) {
				u.bucket.last = since
			}
		}
		u.bucket.fill(now, f, part)
		g = Grant{count: u.bucket.take(n), validity: lentFor}
		if g.count == 0 {
			g.again = u.bucket.again(f, part)
			reserve = !now.Before(u.dry)
		}
		return u, true
	})
	return g, reserve
}

// MarkReserveEmpty notes that the reserve of a customer has no token for a time.
func (q *Quota) MarkReserveEmpty(now time.Time, name string, again time.Duration) {
	q.customers.Update(name, func(u used, _ bool) (used, bool) {
		u.dry = now.Add(again)
		return u, true
	})
}

// SetLease gives the daemon its leased part of a customer's limit.
func (q *Quota) SetLease(now time.Time, name string, part float64) {
	q.customers.Update(name, func(u used, _ bool) (used, bool) {
		u.part, u.granted = part, now
		return u, true
	})
}

// EachDemand calls see with the customers that ask for more than their data centre
// owns, or nearly: tokens per second, and the part that is leased.
func (q *Quota) EachDemand(now time.Time, see func(name string, rate, part float64)) {
	q.customers.Each(func(name string, u used) {
		if r, p := u.rate(now), u.partAt(now); p > 0 || r > reportFrom*u.owned && r > 0 {
			see(name, r, p)
		}
	})
}

// Sweep forgets customers that were not asked for lately.
func (q *Quota) Sweep(now time.Time) {
	q.customers.Sweep(func(_ string, u used) bool { return now.Sub(u.asked) < 2*leaseTerm || u.partAt(now) > 0 })
}
