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
type Broadcaster interface {
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
	Suspects    *poison.Table
	Broadcaster Broadcaster
	Counters    Counters

	table     *model.RoutingTable
	instances int

	requests map[event.QueryID]*Request
	attempts map[event.AttemptID]*Attempt
	timers   timer.Queue[due]
	// paces holds what is usual by the name of the route, and least the least time of an
	// answer by data centre.
	paces    map[string]*pace
	least    map[string]*least
	budgets  map[string]*budget
	dealers  map[string]*dealer
	trickles map[model.ServerID]*trickle
	// checks holds the servers that are asked whether they take connections.
	checks map[model.ServerID]*check
	// live lists the instances that share the duty to send to cold servers.
	live []model.InstanceID
}

// Init makes the system ready; the exported fields are set before.
func (s *System) Init() {
	s.table = &model.RoutingTable{}
	s.instances = 1
	s.requests = map[event.QueryID]*Request{}
	s.attempts = map[event.AttemptID]*Attempt{}
	s.paces = map[string]*pace{}
	s.least = map[string]*least{}
	s.budgets = map[string]*budget{}
	s.dealers = map[string]*dealer{}
	s.trickles = map[model.ServerID]*trickle{}
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
	s.forgetRoutes()
	return true
}

// Instances sets which instances are live: budgets and connections are shared by them.
func (s *System) SetLiveInstances(live []model.InstanceID) {
	s.live = live
	s.instances = max(1, len(live))
}

// InFlight returns the number of requests that wait for an answer and of exchanges
// that must be let run to their end.
func (s *System) InFlight() int { return len(s.requests) }

// Run fires the timers that are due.
func (s *System) RunTimers(now time.Time) {
	for {
		d, ok := s.timers.Pop(now)
		if !ok {
			return
		}
		s.fire(now, d)
	}
}

// Due returns when Run has something to do without another event, or the zero time.
func (s *System) NextDue() time.Time { return s.timers.NextDue() }

// dueKind says what a due time is for.
type dueKind int

const (
	dueAnswer dueKind = iota
	dueAdmit
	duePatience
	dueHedge
	dueRetry
	dueDrop
	dueUnclear
)

// due is one due time. Its target may be gone or have moved on when it comes: the
// handler checks.
type due struct {
	kind    dueKind
	request event.QueryID
	leg     int
	attempt event.AttemptID
}

func (s *System) fire(now time.Time, d due) {
	if d.kind == dueDrop {
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
	case dueAdmit:
		s.admit(now, q)
	case dueAnswer:
		s.answerAtDeadline(now, q)
	case duePatience:
		q.Impatient = true
		s.answerIfEnough(now, q)
	case dueHedge:
		s.overdue(now, q, d.leg, d.attempt)
	case dueRetry:
		s.retry(now, q, d.leg)
	case dueUnclear:
		if a := q.Legs[d.leg].Unclear; a != nil && a.ID == d.attempt {
			s.goOn(now, q, a, true)
		}
	}
}
