package relay

import (
	"fmt"
	"maps"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// QuotaKeeper keeps the quotas of customers.
type QuotaKeeper interface {
	// Admit counts a request of a customer that may send ratePerSecond requests a second and burst
	// at once, at all instances together. It returns false if the request exceeds the quota; the
	// caller is to retry after retryAfter then.
	Admit(now time.Time, customer string, ratePerSecond, burst float64) (ok bool, retryAfter time.Duration)
}

const (
	// maxCustomerCounts is the maximum number of customers with counters of their own; the others
	// share those of otherCustomers.
	maxCustomerCounts = 200
	otherCustomers    = "other"
)

// CustomerCounts counts the requests of a customer.
type CustomerCounts struct {
	// Admitted counts the requests of which at least one attempt was sent.
	Admitted uint64 `json:"admitted"`
	// Refused counts the refusals by this instance.
	Refused map[event.RefusalCode]uint64 `json:"refused,omitempty"`
}

// customerTable holds the customers of the active routing table.
type customerTable struct {
	byKey map[model.KeyDigest]*model.Customer
	// counts holds the counters of the first maxCustomerCounts customers of the table, and those of
	// otherCustomers, by name.
	counts map[string]*CustomerCounts
}

// load takes the customers of a routing table. The counters of customers that it doesn't have
// are removed.
func (t *customerTable) load(table *model.RoutingTable) {
	before := t.counts
	t.byKey, t.counts = map[model.KeyDigest]*model.Customer{}, map[string]*CustomerCounts{}
	if other := before[otherCustomers]; other != nil {
		t.counts[otherCustomers] = other
	}
	for i := range table.Customers {
		c := &table.Customers[i]
		for _, key := range c.Keys {
			t.byKey[key] = c
		}
		if t.counts[c.Name] == nil && len(t.counts) < maxCustomerCounts {
			t.counts[c.Name] = before[c.Name]
			if t.counts[c.Name] == nil {
				t.counts[c.Name] = &CustomerCounts{}
			}
		}
	}
}

// countsOf returns the counters of a customer.
func (t *customerTable) countsOf(c *model.Customer) *CustomerCounts {
	if counts := t.counts[c.Name]; counts != nil {
		return counts
	}
	if t.counts[otherCustomers] == nil {
		t.counts[otherCustomers] = &CustomerCounts{}
	}
	return t.counts[otherCustomers]
}

// countRefused counts the refusal of a request of a customer, which may be nil.
func (t *customerTable) countRefused(c *model.Customer, code event.RefusalCode) {
	if c == nil {
		return
	}
	counts := t.countsOf(c)
	if counts.Refused == nil {
		counts.Refused = map[event.RefusalCode]uint64{}
	}
	counts.Refused[code]++
}

// countAdmitted counts the first attempt of a request of a customer, which may be nil.
func (t *customerTable) countAdmitted(c *model.Customer) {
	if c != nil {
		t.countsOf(c).Admitted++
	}
}

// CustomerCounts returns a copy of the counters of customers, by name.
func (s *System) CustomerCounts() map[string]CustomerCounts {
	out := make(map[string]CustomerCounts, len(s.customers.counts))
	for name, c := range s.customers.counts {
		out[name] = CustomerCounts{Admitted: c.Admitted, Refused: maps.Clone(c.Refused)}
	}
	return out
}

// identifyCustomer finds the customer of a request by its key. It refuses the request and returns
// false if the route requires a key and the request carries no valid one.
func (s *System) identifyCustomer(now time.Time, q *Request) bool {
	q.HasCustomers = s.table.RequireKeys
	if !q.HasCustomers {
		return true
	}
	if q.Key != (model.KeyDigest{}) {
		q.Customer = s.customers.byKey[q.Key]
	}
	if q.Customer != nil {
		// Servers get the name, so a crash may depend on it like on any other header.
		q.Traits = q.Traits.With("customer:" + q.Customer.Name)
	}
	if q.Customer == nil && !q.Route.Public {
		s.Counters.RefusedKey++
		s.refuse(now, q, event.RefuseUnknownKey, 0, fmt.Sprintf("the request does not carry exactly one key that is valid in version %d", s.table.Version))
		return false
	}
	return true
}

// withinQuota reports whether a request is within its customer's quota. It refuses the request if
// it isn't. It must be called once for each request, since each call counts.
func (s *System) withinQuota(now time.Time, q *Request) bool {
	if s.Quotas == nil || q.Customer == nil || q.Customer.RatePerSecond == 0 {
		return true
	}
	ok, retryAfter := s.Quotas.Admit(now, q.Customer.Name, q.Customer.RatePerSecond, q.Customer.Burst)
	if !ok {
		s.Counters.RefusedQuota++
		s.refuse(now, q, event.RefuseQuota, retryAfter, fmt.Sprintf("customer %q is above its quota of %g requests per second", q.Customer.Name, q.Customer.RatePerSecond))
	}
	return ok
}

// customerName returns the name of the request's customer, or "".
func (q *Request) customerName() string {
	if q.Customer == nil {
		return ""
	}
	return q.Customer.Name
}
