// Package relay executes routed requests. It selects the group of a route, or all of
// the groups that a route gathers, and a backend server for each leg; it retries and
// hedges attempts within a budget, and decides when the request is answered.
//
// A request has one leg per group that is asked. A leg has one or more attempts, each
// of which is one exchange with one backend server. Package roster holds the list of
// servers and their health; package io/pass holds the bytes of requests and replies.
package relay

import (
	"math/rand/v2"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/poison"
	"hyssoppitch/core/quota"
	"hyssoppitch/core/report"
	"hyssoppitch/core/rollo"
	"hyssoppitch/core/roster"
	"hyssoppitch/core/timer"
	"hyssoppitch/core/usage"
)

// Outbox receives the commands that a System emits.
type Outbox interface {
	Emit(c event.Command)
}

// Broadcaster sends a message to the other instances.
type Broadcaster interface {
	Broadcast(m event.Message)
}

// Network tells how long messages take.
type Network interface {
	// RoundTrip returns the time to the nearest peer and back, with what messages wait at this
	// instance. Zero means that it is not known.
	RoundTrip(now time.Time) time.Duration
}

// Options are the settings of a System.
type Options struct {
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Retries bounds the extra attempts of each group.
	Retries RetryBudget
	// Quota bounds the requests of each customer.
	Quota usage.QuotaOptions
	// Spill makes requests prefer near servers that are expected to answer in time.
	Spill bool
}

// System executes routed requests. It is not safe for concurrent use.
type System struct {
	Self    model.Instance
	Options Options
	Servers *roster.Table
	Out     Outbox
	Rand    *rand.Rand
	// Suspects holds the fingerprints of requests that may crash servers; changes to it
	// are sent to Broadcaster.
	Suspects    *poison.Table
	Broadcaster Broadcaster
	Counters    Counters
	// Quotas keeps the quotas of customers; nil means that there are none.
	Quotas QuotaKeeper
	// Rollouts holds the roll-outs of new versions of servers, and Answers counts the answers by
	// which they are judged. Nil means that versions play no part.
	Rollouts *rollo.Table
	Answers  rollo.Counter
	// Network may be nil.
	Network Network
	// StartedAt is when the instance started.
	StartedAt time.Time
	// Usage sums requests and extra attempts over all instances; nil if they are not summed.
	Usage *usage.Table
	// Reports exchanges what instances have found out about slow and failing servers; nil if they
	// don't.
	Reports *report.Table

	table         *model.RoutingTable
	customers     customerTable
	shed          shedder
	spill         spillState
	instanceCount int
	// pools holds the limits of the table by group. They are needed for each server that a leg may
	// be sent to.
	pools map[string]model.Pool

	// early holds the requests that wait for the directory or its servers; directoryFailed is
	// set while the directory is not loaded and doesn't answer, and loadedAt is when it was
	// first loaded.
	early           []earlyRequest
	directoryFailed bool
	loadedAt        time.Time

	requests map[event.QueryID]*Request
	attempts map[event.AttemptID]*Attempt
	timers   timer.Queue[timerEvent]
	// serviceTimes is keyed by route name, minLatency by data centre, budgets by group
	// and pickers by route name.
	serviceTimes map[string]*serviceTimeEstimate
	minLatency   map[string]*minLatency
	// nearestLatency is the minimum of minLatency.
	nearestLatency time.Duration
	budgets        map[string]*budget
	pickers        map[string]*weightedPicker
	// checks holds the pending connection checks of servers that may have crashed.
	checks map[*roster.Server]*check
	// rechecks holds the servers whose next check is scheduled since they refused a connection.
	rechecks map[*roster.Server]bool
	// lastCheck is the number of the last check.
	lastCheck uint64
	// demand holds the demand of all instances, and arrivals counts the requests that this one
	// received, by route name.
	demand   *quota.Demand
	arrivals map[string]*budget
	// requestCounters finds the counters of requests by group.
	requestCounters requestCounters
	// limited holds the servers with a rate limit, and those whose limit has ended since the
	// last call of SpreadRateLimits.
	limited map[model.ServerID]*roster.Server
	// brokenAt is when a broken connection of a server was last counted in a roll-out.
	brokenAt map[model.ServerID]time.Time
	// stopBy is when every request must be answered; zero unless the instance shuts down.
	stopBy  time.Time
	members Membership
}

// Init initializes the system. The exported fields must be set before.
func (s *System) Init() {
	s.table = &model.RoutingTable{}
	s.instanceCount = 1
	s.members = Membership{Shares: 1, Settled: true}
	s.requests = map[event.QueryID]*Request{}
	s.attempts = map[event.AttemptID]*Attempt{}
	s.serviceTimes = map[string]*serviceTimeEstimate{}
	s.minLatency = map[string]*minLatency{}
	s.budgets = map[string]*budget{}
	s.pickers = map[string]*weightedPicker{}
	s.checks = map[*roster.Server]*check{}
	s.rechecks = map[*roster.Server]bool{}
	s.demand = quota.NewDemand(s.Self.ID)
	s.arrivals = map[string]*budget{}
	s.limited = map[model.ServerID]*roster.Server{}
	s.brokenAt = map[model.ServerID]time.Time{}
}

// Table returns the active routing table.
func (s *System) Table() *model.RoutingTable { return s.table }

// Configure activates a routing table for all requests that arrive from now on. It
// returns false if the table is not newer than the active one.
func (s *System) Configure(t *model.RoutingTable) bool {
	if t.Version <= s.table.Version {
		return false
	}
	s.logRegionChanges(s.table, t)
	s.table = t
	s.customers.load(t)
	s.requestCounters.configure(t)
	s.shed.load(t)
	s.pools = make(map[string]model.Pool, len(t.Pools))
	for i := len(t.Pools) - 1; i >= 0; i-- {
		s.pools[t.Pools[i].Group] = t.Pools[i]
	}
	s.removeStaleRoutes()
	return true
}

// Membership is what an instance knows of the others.
type Membership struct {
	// Live lists the live instances, this one included. They share the capacity and the
	// connections of servers; if there are fewer than AtLeast, that number of them is assumed.
	Live    []model.InstanceID
	AtLeast int
	// Shares is the number of instances among which common budgets are divided: the slack of retry
	// budgets, the rates of cold servers and rate limits. It is at least the number of live
	// instances, since others may be alive that this one doesn't see.
	Shares int
	// Settled is false while the instance has just started and has had no link to a peer.
	Settled bool
}

// SetMembership sets what is known of the other instances.
func (s *System) SetMembership(m Membership) {
	m.Shares = max(1, m.Shares, len(m.Live))
	s.members = m
	s.instanceCount = max(1, len(m.Live), m.AtLeast)
}

// InFlight returns the number of requests that are unanswered, or answered with a
// non-idempotent exchange still in flight.
func (s *System) InFlight() int { return len(s.requests) + len(s.early) }

// RunTimers handles all timers that are due.
func (s *System) RunTimers(now time.Time) {
	for {
		d, ok := s.timers.Pop(now)
		if !ok {
			return
		}
		s.fire(now, d)
	}
}

// NextDue returns when the next timer is due, or the zero time if there is none. It removes the first
// timers if they no longer apply: most hedge timers don't, and each would wake the process.
func (s *System) NextDue() time.Time {
	s.timers.DropWhile(s.stale)
	return s.timers.NextDue()
}

// stale reports whether a timer no longer has an effect.
func (s *System) stale(d timerEvent) bool {
	switch d.kind {
	case timerStartWait, timerRecheck:
		return false
	case timerCancel:
		return s.attempts[d.attempt] == nil
	case timerHedge:
		if s.attempts[d.attempt] == nil {
			return true
		}
	}
	q := s.requests[d.request]
	return q == nil || q.Done
}

// timerKind is the kind of a timer.
type timerKind int

// The kinds of timers.
const (
	// timerDeadline ends the request.
	timerDeadline timerKind = iota
	// timerAdmit retries the admission of a held request.
	timerAdmit
	// timerTarget marks the route's target as passed.
	timerTarget
	// timerHedge hedges an overdue attempt.
	timerHedge
	// timerRetry retries a leg that waited for a server.
	timerRetry
	// timerCancel cancels an attempt whose leg another attempt has completed.
	timerCancel
	// timerStartWait ends the wait of a request for the directory or its servers.
	timerStartWait
	// timerCrashCheck resumes a leg whose connection check took too long.
	timerCrashCheck
	// timerRecheck checks a server that refused a connection.
	timerRecheck
)

// timerEvent is one timer. Timers are never cancelled: the handler checks whether the
// request, leg and attempt still exist and are in a state in which the timer applies.
type timerEvent struct {
	kind    timerKind
	request event.QueryID
	leg     int
	attempt event.AttemptID
	// server is set for timerRecheck only.
	server *roster.Server
}

// fire handles a timer that is due.
func (s *System) fire(now time.Time, d timerEvent) {
	switch d.kind {
	case timerCancel:
		if a := s.attempts[d.attempt]; a != nil {
			s.cancel(a)
		}
		return
	case timerStartWait:
		s.endStartWait(now, d.request)
		return
	case timerRecheck:
		s.recheck(now, d.server)
		return
	}
	q := s.requests[d.request]
	if q == nil || q.Done {
		return
	}
	switch d.kind {
	case timerAdmit:
		if !q.admitted {
			s.admit(now, q)
		}
	case timerDeadline:
		s.answerAtDeadline(now, q)
	case timerTarget:
		q.TargetPassed = true
		s.answerIfCovered(now, q)
	case timerHedge:
		s.handleOverdue(now, q, d.leg, d.attempt)
	case timerRetry:
		s.retry(now, q, d.leg)
	case timerCrashCheck:
		if a := q.Legs[d.leg].Undetermined; a != nil && a.ID == d.attempt {
			s.resumeLeg(now, q, a, true)
		}
	}
}
