package query

import (
	"math/rand/v2"
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/poison"
	"hyssoppitch/core/timer"
	"hyssoppitch/core/warm"
)

// Outbox takes the commands of a system.
type Outbox interface {
	Emit(c event.Command)
}

// Gossip tells every other instance something.
type Broadcaster interface {
	Broadcast(m event.Message)
}

// Options switch policies that were weighed against each other.
type Options struct {
	// Limits is the policy for the limits of warm servers.
	Limits limit.Policy
	// Hedging switches second attempts on slow legs.
	Hedging bool
}

// System runs queries over the tables. It is used from one goroutine.
type System struct {
	Self     model.Instance
	Options  Options
	Servers  *limit.Table
	Warm     *warm.Coordinator
	Suspects *poison.Table
	Claims   *claim.Ledger
	Out      Outbox
	Peers    Broadcaster
	Rand     *rand.Rand
	Counters Counters

	config *model.Config
	// previous holds, for a service whose shard map was replaced, the service with
	// the map before: servers take a new map at different times.
	previous map[string]*model.Service
	// out holds the data centres that take no work.
	out       map[string]bool
	instances int

	queries  map[event.QueryID]*Query
	attempts map[event.AttemptID]*Attempt
	groups   map[limit.GroupKey]*groupState
	// dirty lists the groups whose waiting legs may move, in order.
	dirty  []*groupState
	timers timer.Queue[due]
	hedges budget
	extras budget

	snapshotCounts []snapshotCount
}

// Init makes the system ready; the exported fields are set before.
func (s *System) Init() {
	s.config = &model.Config{}
	s.queries = map[event.QueryID]*Query{}
	s.attempts = map[event.AttemptID]*Attempt{}
	s.groups = map[limit.GroupKey]*groupState{}
	s.hedges = budget{perFirst: hedgeFraction, most: budgetBurst, tokens: budgetBurst}
	s.extras = budget{perFirst: extraFraction, most: 2 * budgetBurst, tokens: 2 * budgetBurst}
}

// Configure takes a configuration into force: from now on no attempt is sent to
// a data centre that is out or a server that is gone from it.
func (s *System) Configure(c *model.Config) {
	s.keepPrevious(c)
	s.config = c
	s.out = map[string]bool{}
	for _, d := range c.DataCentres {
		s.out[d.Name] = d.State != model.DataCentreIn
	}
	for _, b := range s.Servers.Rows {
		s.ServerChanged(b)
	}
}

// keepPrevious remembers the shard maps that a configuration replaces. A service
// that is gone is not kept.
func (s *System) keepPrevious(next *model.Config) {
	previous := map[string]*model.Service{}
	for i := range next.Services {
		name := next.Services[i].Name
		switch old := s.config.Service(name); {
		case old == nil:
		case old.Epoch != next.Services[i].Epoch:
			previous[name] = old
		case s.previous[name] != nil:
			previous[name] = s.previous[name]
		}
	}
	s.previous = previous
}

// Instances sets the number of live instances, which the limits are shared by.
func (s *System) SetInstances(n int) { s.instances = n }

// Share returns this instance's share of a server's slots.
func (s *System) Share(b *limit.Server) float64 { return limit.Share(b.Slots, s.instances) }

// ServerChanged notes that a server's state changed: legs that wait for its group
// may move.
func (s *System) ServerChanged(b *limit.Server) {
	s.markDirty(limit.GroupKey{Service: b.Service, Group: b.Group})
}

// InFlight returns the number of queries that wait for an answer, or whose
// non-idempotent attempt has not ended.
func (s *System) InFlight() int { return len(s.queries) }

// Run fires the timers that are due, takes in the decisions on claims and sends
// what can be sent.
func (s *System) Run(now time.Time) {
	s.fireTimers(now)
	s.takeDecisions(now)
	s.dispatch(now)
}

// Due returns when Run has something to do without another event, or the zero
// time.
func (s *System) NextDue() time.Time {
	return s.timers.NextDue()
}
