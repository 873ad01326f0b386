package sidecar

import (
	promclient "github.com/prometheus/client_golang/prometheus"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// customerReason identifies a counter of customerCounts. The reason is empty for
// requests that ran.
type customerReason struct {
	customer string
	reason   caller.Reason
}

// customerCounts counts the responses to the requests of each customer by reason. It
// holds the customers of the configuration in force only, which bounds its size. It
// implements prometheus.Collector.
type customerCounts struct {
	counts *table.Table[customerReason, uint64]
	desc   *promclient.Desc
}

func newCustomerCounts() *customerCounts {
	return &customerCounts{
		counts: table.New[customerReason, uint64](lock.Counters),
		desc: promclient.NewDesc("lycheehead_customer_requests", "Responses to the requests of a customer.",
			[]string{"customer", "reason"}, nil),
	}
}

// record counts a response to a request of a customer of the configuration.
func (c *customerCounts) record(customer string, reason caller.Reason) {
	c.counts.Update(customerReason{customer, reason}, func(n uint64, _ bool) (uint64, bool) { return n + 1, true })
}

// sweep removes the counters of customers that are not in a configuration.
func (c *customerCounts) sweep(cfg *operator.Config) {
	c.counts.Sweep(func(k customerReason, _ uint64) bool {
		_, ok := cfg.Customer(k.customer)
		return ok
	})
}

// Describe implements prometheus.Collector.
func (c *customerCounts) Describe(out chan<- *promclient.Desc) { out <- c.desc }

// Collect implements prometheus.Collector.
func (c *customerCounts) Collect(out chan<- promclient.Metric) {
	counts := make(map[customerReason]uint64)
	c.counts.Each(func(k customerReason, n uint64) { counts[k] = n })
	for k, n := range counts {
		out <- promclient.MustNewConstMetric(c.desc, promclient.CounterValue, float64(n), k.customer, string(k.reason))
	}
}
