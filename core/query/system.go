package query

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/poison"
	"hyssoppitch/core/timer"
	"hyssoppitch/core/warm"
)

// Outbox receives the commands of a system.
type Outbox interface {
	Emit(c event.Command)
}

// Broadcaster sends a message to every other instance.
type Broadcaster interface {
	Broadcast(m event.Message)
}

// Options selects the policies of a System.
type Options struct {
	// Limits is the policy for the limits of warm servers.
	Limits limit.Policy
	// Hedging enables second attempts for slow legs.
	Hedging bool
}

// System runs queries against the servers of a table. It is used from one goroutine.
type System struct {
	Self        model.Instance
	Options     Options
	Servers     *limit.Table
	Warm        *warm.Coordinator
	Suspects    *poison.Table
	Claims      *claim.Ledger
	Out         Outbox
	Broadcaster Broadcaster
	Rand        *rand.Rand
	Counters    Counters

	config *model.Config
	// previousMaps holds each service whose shard map was replaced, as it was with
	// the previous map. Servers switch to a new map at different times, so that the
	// previous one may still be needed.
	previousMaps map[string]*model.Service
	// evacuatedDataCentres holds the data centres that get no requests.
	evacuatedDataCentres map[string]bool
	// instances is the number of live instances.
	instances int

	// stopBy is when every query must be answered; zero unless the instance shuts down.
	stopBy time.Time

	queries  map[event.QueryID]*Query
	attempts map[event.AttemptID]*Attempt
	groups   map[limit.GroupKey]*groupState
	// dirty lists the groups to dispatch, in the order in which they were marked.
	dirty  []*groupState
	timers timer.Queue[timerEvent]
	// hedgeBudget limits hedges; extraBudget limits hedges and retries together.
	hedgeBudget retryBudget
	extraBudget retryBudget

	// snapshotCounts is a buffer that servedInGroup reuses.
	snapshotCounts []snapshotCount
}

// Init initializes the system. The exported fields are set before.
func (s *System) Init() {
	s.config = &model.Config{}
	s.queries = map[event.QueryID]*Query{}
	s.attempts = map[event.AttemptID]*Attempt{}
	s.groups = map[limit.GroupKey]*groupState{}
	s.hedgeBudget = retryBudget{tokensPerFirst: hedgeFraction, maxTokens: budgetBurst, tokens: budgetBurst}
	s.extraBudget = retryBudget{tokensPerFirst: extraFraction, maxTokens: 2 * budgetBurst, tokens: 2 * budgetBurst}
}

// Configure applies a configuration. From then on no attempt is sent to a data
// centre that the configuration evacuates, or to a server that it no longer lists.
func (s *System) Configure(c *model.Config) {
	s.updatePreviousMaps(c)
	s.config = c
	s.evacuatedDataCentres = map[string]bool{}
	for _, d := range c.DataCentres {
		s.evacuatedDataCentres[d.Name] = d.State != model.DataCentreIn
	}
	for _, b := range s.Servers.Rows {
		s.ServerChanged(b)
	}
}

// updatePreviousMaps stores the shard maps that a configuration replaces, and keeps
// the earlier ones of services whose map stays. It drops the services that the
// configuration no longer lists.
func (s *System) updatePreviousMaps(next *model.Config) {
	previousMaps := map[string]*model.Service{}
	for i := range next.Services {
		name := next.Services[i].Name
		switch old := s.config.Service(name); {
		case old == nil:
		case old.Epoch != next.Services[i].Epoch:
			previousMaps[name] = old
		case s.previousMaps[name] != nil:
			previousMaps[name] = s.previousMaps[name]
		}
	}
	s.previousMaps = previousMaps
}

// SetLiveInstances sets the number of live instances, among which the slots of each
// server are divided.
func (s *System) SetLiveInstances(n int) { s.instances = n }

// Share returns this instance's share of a server's slots.
func (s *System) Share(b *limit.Server) float64 { return limit.Share(b.Slots, s.instances) }

// ServerChanged schedules the group of a server for dispatch, since a change of the
// server's state may let waiting legs be sent.
func (s *System) ServerChanged(b *limit.Server) {
	s.markDirty(limit.GroupKey{Service: b.Service, Group: b.Group})
}

// StopBy limits the deadlines of all queries, now and later, to the time at which the instance
// stops.
func (s *System) StopBy(at time.Time) {
	s.stopBy = at
	for _, id := range slices.Sorted(maps.Keys(s.queries)) {
		if q := s.queries[id]; !q.Answered && q.AnswerBy.After(at) {
			q.AnswerBy = at
			s.setTimer(timerEvent{at: at, kind: timerDeadline, query: id})
		}
	}
}

// beforeStop limits a deadline to the time at which the instance stops, if it shuts down.
func (s *System) beforeStop(deadline time.Time) time.Time {
	if !s.stopBy.IsZero() && s.stopBy.Before(deadline) {
		return s.stopBy
	}
	return deadline
}

// InFlight returns the number of queries that wait for an answer, or whose
// non-idempotent attempt has not ended.
func (s *System) InFlight() int { return len(s.queries) }

// Run handles the timers that are due and the decisions on claims, and then places
// the waiting legs of the groups that changed.
func (s *System) Run(now time.Time) {
	s.fireTimers(now)
	s.processClaimDecisions(now)
	s.dispatch(now)
}

// NextDue returns the time of the next timer, at which Run must be called even
// without another event, or the zero time.
func (s *System) NextDue() time.Time {
	return s.timers.NextDue()
}
