// Package relay owns routed requests: the choice of a route's group, or of all the
// groups that are gathered; the choice of a server for each leg; retries and hedges
// within a budget; and the moment of the answer.
//
// A request becomes one leg per group that is asked; a leg has one or more attempts,
// each on one backend server. Which servers there are, and how they fare, is kept by
// package roster; the bytes of requests and replies stay in package io/pass.
package relay

import (
	"math/rand/v2"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/poison"
	"hyssoppitch/core/roster"
	"hyssoppitch/core/timer"
)

// Outbox takes the commands of a system.
type Outbox interface {
	Emit(c event.Command)
}

// Peers tells the other instances.
type Peers interface {
	Broadcast(m event.Message)
}

// Options are the settings of a system.
type Options struct {
	// Regions maps each data centre to its region.
	Regions map[string]string
	Retries RetryBudget
}

// System runs routed requests. It is used from one goroutine.
type System struct {
	Self    model.Instance
	Options Options
	Servers *roster.Table
	Out     Outbox
	Rand    *rand.Rand
	// Suspects is what is believed of requests that crash servers, and Peers hears of it.
	Suspects *poison.Table
	Peers    Peers
	Counters Counters

	table     *model.RoutingTable
	instanceCount int

	requests map[event.QueryID]*Request
	attempts map[event.AttemptID]*Attempt
	timers   timer.Queue[timerEvent]
	// paces holds what is usual by the name of the route, and least the least time of an
	// answer by data centre.
	serviceTimes    map[string]*serviceTimeEstimate
	minLatency    map[string]*minLatency
	budgets  map[string]*budget
	pickers  map[string]*weightedPicker
	coldLimiters map[model.ServerID]*coldLimiter
	// checks holds the servers that are asked whether they take connections.
	checks map[model.ServerID]*check
	// live lists the instances that share the duty to send to cold servers.
	live []model.InstanceID
}

// Init makes the system ready; the exported fields are set before.
func (s *System) Init() {
	s.table = &model.RoutingTable{}
	s.instanceCount = 1
	s.requests = map[event.QueryID]*Request{}
	s.attempts = map[event.AttemptID]*Attempt{}
	s.serviceTimes = map[string]*serviceTimeEstimate{}
	s.minLatency = map[string]*minLatency{}
	s.budgets = map[string]*budget{}
	s.pickers = map[string]*weightedPicker{}
	s.coldLimiters = map[model.ServerID]*coldLimiter{}
	s.checks = map[model.ServerID]*check{}
}

// Table returns the routing table in force.
func (s *System) Table() *model.RoutingTable { return s.table }

// Configure takes a routing table into force for the requests that arrive from now
// on. It returns false for a table that is not newer.
func (s *System) Configure(t *model.RoutingTable) bool {
	if t.Version <= s.table.Version {
		return false
	}
	s.table = t
	s.removeStaleRoutes()
	return true
}

// Instances sets which instances are live: budgets and connections are shared by them.
func (s *System) Instances(live []model.InstanceID) {
	s.live = live
	s.instanceCount = max(1, len(live))
}

// InFlight returns the number of requests that wait for an answer and of exchanges
// that must be let run to their end.
func (s *System) InFlight() int { return len(s.requests) }

// Run fires the timers that are due.
func (s *System) Run(now time.Time) {
	for {
		d, ok := s.timers.Pop(now)
		if !ok {
			return
		}
		s.fire(now, d)
	}
}

// Due returns when Run has something to do without another event, or the zero time.
func (s *System) Due() time.Time { return s.timers.Due() }

// dueKind says what a due time is for.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerAdmit
	timerTarget
	timerHedge
	timerRetry
	timerCancel
	timerCrashCheck
)

// due is one due time. Its target may be gone or have moved on when it comes: the
// handler checks.
type timerEvent struct {
	kind    timerKind
	request event.QueryID
	leg     int
	attempt event.AttemptID
}

func (s *System) fire(now time.Time, d timerEvent) {
	if d.kind == timerCancel {
		if a := s.attempts[d.attempt]; a != nil {
			s.cancel(a)
		}
		return
	}
	q := s.requests[d.request]
	if q == nil || q.Done {
		return
	}
	switch d.kind {
	case timerAdmit:
		s.admit(now, q)
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
