package relay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
	"hyssoppitch/core/usage"
)

// This file explains where a request would be sent, without sending it.

// Question asks where a request would be sent.
type Question struct {
	Host, Path string
	// Customer is the name of a customer; empty for none.
	Customer string
	// DataCentre is the data centre of the instance that sends the request, with the latencies that
	// this one has measured; empty for its own.
	DataCentre string
}

// Explanation says where a request would be sent now, and why.
type Explanation struct {
	Instance   model.InstanceID `json:"instance"`
	DataCentre string           `json:"data-centre"`
	Route      string           `json:"route"`
	Version    uint64           `json:"routing-version"`
	Idempotent bool             `json:"idempotent"`
	TargetMs   int64            `json:"target-ms"`
	// Customer is nil without a customer.
	Customer *ExplainedCustomer `json:"customer,omitempty"`
	// Groups holds the group of each leg, or all groups of which a request gets one.
	Groups  []ExplainedGroup `json:"groups"`
	Outcome string           `json:"outcome"`
}

// ExplainedCustomer is what is known of a customer's quota.
type ExplainedCustomer struct {
	Name     string `json:"name"`
	Priority *int   `json:"priority,omitempty"`
	// Limited is set if the customer has a quota: Quota requests in each window, of which Used are
	// known to be used and Left are left, without tolerance.
	Limited bool    `json:"limited"`
	Quota   float64 `json:"quota"`
	Used    int     `json:"used"`
	Left    float64 `json:"left"`
	// Current is set if Used is that of all instances.
	Current bool `json:"current"`
}

// ExplainedGroup is the decision for one group.
type ExplainedGroup struct {
	Group string `json:"group"`
	// Weight is the part of the requests that the group gets.
	Weight float64 `json:"weight"`
	// Chosen is the server that would get the first attempt; empty if there is none now.
	Chosen model.ServerID `json:"chosen,omitempty"`
	// Kept is the fraction of requests that prefers the nearest servers, if Options.Spill is set.
	Kept float64 `json:"kept"`
	// Requests and Extra count the requests and extra attempts of this instance in the window of the
	// retry budget, and Left the extra attempts that its own part of the budget has left.
	Requests int               `json:"budget-requests"`
	Extra    int               `json:"budget-extra"`
	Left     float64           `json:"budget-left"`
	Servers  []ExplainedServer `json:"servers"`
}

// ExplainedServer holds the figures that rank a server.
type ExplainedServer struct {
	ID         model.ServerID `json:"id"`
	DataCentre string         `json:"data-centre"`
	Distance   string         `json:"distance"`
	// Excluded is the reason why the server gets no request now, or empty.
	Excluded    string  `json:"excluded,omitempty"`
	InFlight    int     `json:"in-flight"`
	Capacity    int     `json:"capacity"`
	ExpectedUs  int64   `json:"expected-us"`
	CostUs      int64   `json:"cost-us"`
	Slowness    float64 `json:"slowness"`
	FailureRate float64 `json:"failure-rate"`
	Overdue     bool    `json:"overdue"`
}

// discard drops the commands and messages of a copy.
type discard struct{}

func (discard) Emit(event.Command)      {}
func (discard) Broadcast(event.Message) {}

// copyForDecision returns a copy of the system that chooses servers of a route's groups as the system
// does, apart from the random part of costs. It shares only state that choosing a server doesn't change.
func (s *System) copyForDecision(r *model.Route) *System {
	c := *s
	c.Out, c.Broadcaster, c.Rand = discard{}, discard{}, rand.New(rand.NewPCG(1, 1))
	c.Servers = s.Servers.CopyGroups(r.Groups())
	c.demand = s.demand.Copy()
	c.spill = spillState{table: s.spill.table.Copy()}
	return &c
}

// Explain returns where a request would be sent now, and why. It changes nothing. Priority admission and
// requests that are suspected of crashing servers are not considered.
func (s *System) Explain(now time.Time, question Question) (x Explanation, err error) {
	route := s.table.Match(question.Host, question.Path)
	if route == nil {
		return x, fmt.Errorf("no route for host %q, path %q in version %d", question.Host, question.Path, s.table.Version)
	}
	c := s.copyForDecision(route)
	if question.DataCentre != "" {
		if _, ok := s.Options.Regions[question.DataCentre]; !ok {
			return x, fmt.Errorf("unknown data centre %q", question.DataCentre)
		}
		c.Self.DataCentre = question.DataCentre
	}
	q := &Request{
		RoutedRequest: event.RoutedRequest{Host: question.Host, Path: question.Path},
		Route:         route, Version: s.table.Version, ArrivedAt: now, HasCustomers: s.table.RequireKeys,
	}
	q.AnswerBy = answerBy(q)
	x = Explanation{
		Instance: s.Self.ID, DataCentre: c.Self.DataCentre, Route: route.Name, Version: s.table.Version,
		Idempotent: route.Idempotent, TargetMs: route.Target.Milliseconds(),
	}
	if question.Customer != "" {
		if q.Customer = s.table.Customer(question.Customer); q.Customer == nil {
			return x, fmt.Errorf("unknown customer %q in version %d", question.Customer, s.table.Version)
		}
		x.Customer = s.explainCustomer(now, q.Customer)
	}
	available := 0
	for _, group := range route.Groups() {
		q.Legs = append(q.Legs, Leg{Group: group})
		g := c.explainGroup(now, q, &q.Legs[len(q.Legs)-1])
		if g.Chosen != "" {
			available++
		}
		x.Groups = append(x.Groups, g)
	}
	x.Outcome = s.explainOutcome(q, x, available)
	return x, nil
}

// explainCustomer returns what is known of a customer.
func (s *System) explainCustomer(now time.Time, t *model.Customer) *ExplainedCustomer {
	x := &ExplainedCustomer{Name: t.Name, Priority: t.Priority, Limited: t.RatePerSecond > 0}
	if x.Limited && s.Usage != nil {
		sum := s.Usage.Fleet(now, usage.Key{Kind: usage.Admitted, Name: t.Name})
		x.Quota = t.RatePerSecond*s.Usage.Window(usage.Admitted).Seconds() + max(0, t.Burst)
		x.Used, x.Current = sum.Events(), sum.Fresh
		x.Left = max(0, x.Quota-float64(x.Used))
	}
	return x
}

// explainGroup explains the decision for one leg. It is called on a copy.
func (s *System) explainGroup(now time.Time, q *Request, l *Leg) ExplainedGroup {
	g := ExplainedGroup{Group: l.Group, Weight: s.routeWeight(q.Route.Name, l.Group), Kept: s.keptFraction(now, q.Route.Name, l.Group), Servers: []ExplainedServer{}}
	if b := s.budgets[l.Group]; b != nil {
		used := *b
		used.advance(now, s.Options.Retries.Window)
		g.Requests, g.Extra = used.totals()
	}
	g.Left = max(0, s.ownBudget(now, g.Requests)-float64(g.Extra))
	for _, b := range s.Servers.Group(l.Group) {
		server := ExplainedServer{
			ID: b.ID, DataCentre: b.DataCentre, Distance: s.distance(b.DataCentre).String(), Excluded: s.exclusion(now, q, l, b),
			InFlight: b.InFlight, Capacity: s.capacity(q.Route, b), ExpectedUs: s.expectedLatency(now, q.Route, b).Microseconds(),
			CostUs: s.cost(now, q.Route, b).Microseconds(), Slowness: b.LastSlowness(), FailureRate: b.FailureRate(now), Overdue: now.Before(b.PausedUntil),
		}
		g.Servers = append(g.Servers, server)
	}
	if b := s.chooseServer(now, q, l, false); b != nil {
		g.Chosen = b.ID
	}
	return g
}

// exclusion returns why a server can't get a request now, or "".
func (s *System) exclusion(now time.Time, q *Request, l *Leg, b *roster.Server) string {
	switch {
	case s.Servers.Evacuated(b.DataCentre):
		return "its data centre is evacuated"
	case !s.Servers.Usable(b):
		return "it is draining, leaves, or was replaced"
	case s.excludedVersion(b):
		return "its version gets no requests"
	case !s.eligible(q, b):
		return "the route or the customer doesn't allow its region"
	default:
		return s.unavailable(now, q, l, b, false)
	}
}

// explainOutcome returns what would happen to a request. available is the number of groups with a server
// that takes requests.
func (s *System) explainOutcome(q *Request, x Explanation, available int) string {
	switch {
	case !s.ready():
		return "wait or refusal: the directory has not been read yet"
	case q.HasCustomers && x.Customer == nil && !q.Route.Public:
		return "refusal: the route requires the key of a customer"
	case x.Customer != nil && x.Customer.Limited && s.Usage != nil && x.Customer.Left < 1:
		return "refusal, unless the tolerance of quotas allows it: the customer's quota is used up"
	case available == 0:
		return "wait or refusal: no group has a server that takes requests now"
	case q.gathers() && !sufficientCoverage(q.Route, available, len(q.Legs)):
		return fmt.Sprintf("wait or refusal: %d of %d groups have a server that takes requests now", available, len(q.Legs))
	case q.gathers():
		return fmt.Sprintf("sent to %d of %d groups", available, len(q.Legs))
	case available < len(q.Legs):
		return fmt.Sprintf("sent to the group in turn; %d of %d have a server that takes requests now", available, len(q.Legs))
	case len(q.Legs) > 1:
		return "sent to the group in turn"
	default:
		return "sent to " + string(x.Groups[0].Chosen)
	}
}
