package relay

import (
	"time"

	"hyssoppitch/core/event"
)

const (
	// An attempt is overdue after hedgeFactor times its expected latency plus hedgeMargin.
	hedgeFactor = 1.6
	hedgeMargin = 8 * time.Millisecond
	// hedgeRetryInterval is the delay before a hedge that found no server, or had to wait for others, is
	// retried.
	hedgeRetryInterval = 15 * time.Millisecond
	// A request may have firstHedges legs with a hedge in flight, and hedgesPerAnswer more for each answered
	// leg. The first ones show whether other servers answer.
	firstHedges     = 4
	hedgesPerAnswer = 8
)

// When most legs of a request are late, the cause is often this instance, its processor or its link. Hedges
// would make it worse, and use up the budgets of all groups. Few legs are hedged before one is answered. If
// even the first answer is late, the others are given as much more time.

// hedgeAfter returns the time after which an attempt is overdue.
func hedgeAfter(expected time.Duration) time.Duration {
	return time.Duration(hedgeFactor*float64(expected)) + hedgeMargin
}

// handleOverdue handles an attempt that has taken far longer than expected. It marks the
// server as paused and hedges the attempt if another server is likely to answer in time.
func (s *System) handleOverdue(now time.Time, q *Request, leg int, id event.AttemptID) {
	a := s.attempts[id]
	if a == nil || a.Ended || a.Cancelled {
		return
	}
	if !a.Overdue && !now.Before(a.OverdueAt) {
		a.Overdue = true
		a.Server.Overdue(now)
		a.Server.BadAt = now
	}
	l := &q.Legs[leg]
	if q.Isolated || l.State != LegOpen || l.Running > 1 || !q.Route.Idempotent || l.mayHaveExecuted() >= q.Route.Attempts || len(l.Sent) >= maxAttemptsPerLeg {
		return
	}
	b := s.chooseServer(now, q, l, false)
	if now.Before(a.OverdueAt) && !s.hedgesEarly(now, b) {
		return
	}
	if b == nil || now.Before(b.PausedUntil) {
		// Another server may soon have capacity or end its pause.
		s.timers.Set(now.Add(hedgeRetryInterval), timerEvent{kind: timerHedge, request: q.Query, leg: leg, attempt: id})
		return
	}
	if now.Add(s.expectedLatency(now, q.Route, b)).After(q.AnswerBy) {
		return
	}
	if at := q.hedgeAt(now, a); at.After(now) {
		s.Counters.HedgesDelayed++
		s.timers.Set(at, timerEvent{kind: timerHedge, request: q.Query, leg: leg, attempt: id})
		return
	}
	if !s.budgetAllows(now, l.Group, hedgeFraction) {
		s.Counters.BudgetExhausted++
		q.addStep(now, event.Step{Decision: "not-hedged", Server: a.Server.ID, Group: l.Group, Cause: "retry budget exhausted"})
		return
	}
	s.send(now, q, leg, b, hedgeAttempt)
}

// hedgeAt returns when an overdue attempt may be hedged as far as the other legs of its request tell: now, or
// later.
func (q *Request) hedgeAt(now time.Time, a *Attempt) time.Time {
	if q.hedgedLegs() >= firstHedges+hedgesPerAnswer*q.AnsweredLegs {
		return now.Add(hedgeRetryInterval)
	}
	if q.delay == 0 {
		return now
	}
	return a.OverdueAt.Add(q.delay)
}

// recordDelay records by how much the first answer to a request was late if most other legs are late as well,
// unless it is that to a later attempt of a leg, which met another state of this instance.
func (q *Request) recordDelay(now time.Time, a *Attempt) {
	switch {
	case a != q.Legs[a.Leg].Sent[0]:
	case !now.After(a.OverdueAt):
		q.delay = 0
	case q.AnsweredLegs == 0 && 2*q.lateLegs(now) > len(q.Legs):
		q.delay = now.Sub(a.SentAt)
	}
}

// lateLegs returns the number of legs whose first attempt is in flight and overdue.
func (q *Request) lateLegs(now time.Time) (n int) {
	for i := range q.Legs {
		if sent := q.Legs[i].Sent; len(sent) > 0 && !sent[0].Ended && now.After(sent[0].OverdueAt) {
			n++
		}
	}
	return n
}

// hedgedLegs returns the number of legs with more than one attempt in flight.
func (q *Request) hedgedLegs() (n int) {
	for i := range q.Legs {
		if q.Legs[i].State == LegOpen && q.Legs[i].Running > 1 {
			n++
		}
	}
	return n
}
