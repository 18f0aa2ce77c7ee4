package relay

import (
	"time"

	"hyssoppitch/core/event"
)

const (
	// hedgeFactor times the expected time, and hedgeFloor more, is waited for before an
	// attempt counts as overdue.
	hedgeFactor = 1.6
	hedgeFloor  = 8 * time.Millisecond
	// hedgeRetry is the wait before a hedge is tried again that found no server.
	hedgeRetry = 15 * time.Millisecond
)

// hedgeAfter returns the time after which an attempt is overdue.
func hedgeAfter(expected time.Duration) time.Duration {
	return time.Duration(hedgeFactor*float64(expected)) + hedgeFloor
}

// overdue is called when an attempt took far longer than expected. Its server is
// passed over for a while, and the leg gets a second attempt if that may help.
func (s *System) overdue(now time.Time, q *Request, leg int, id event.AttemptID) {
	a := s.attempts[id]
	if a == nil || a.Ended || a.Cancelled {
		return
	}
	if !a.Overdue {
		a.Overdue = true
		a.Server.Overdue(now)
	}
	l := &q.Legs[leg]
	if q.Trial || l.State != LegOpen || l.Running > 1 || !q.Route.Idempotent || l.mayHaveRun() >= q.Route.Attempts || len(l.Sent) >= maxExchanges {
		return
	}
	b := s.choose(now, q, l, false)
	if b == nil || now.Before(b.PausedUntil) {
		// Another server may have room, or be done with its pause, in a moment.
		s.timers.Set(now.Add(hedgeRetry), due{kind: dueHedge, request: q.Query, leg: leg, attempt: id})
		return
	}
	if now.Add(s.expected(now, q.Route, b)).After(q.AnswerBy) {
		return
	}
	if !s.afford(now, l.Group, hedgePart) {
		s.Counters.BudgetExhausted++
		q.note(now, event.Step{Decision: "not-hedged", Server: a.Server.ID, Group: l.Group, Cause: "retry budget exhausted"})
		return
	}
	s.send(now, q, leg, b, hedgeAttempt)
}
