package query

import (
	"time"

	"hyssoppitch/core/event"
)

// timerKind is the action of a timer.
type timerKind int

const (
	// timerDeadline ends a query with the results that it has.
	timerDeadline timerKind = iota
	// timerPatience answers a query that has its least coverage.
	timerPatience
	// timerHedge hedges a leg that is still running.
	timerHedge
	// timerRequeue queues a leg again after all servers of its group shed.
	timerRequeue
	// timerRelease frees the slot of a cancelled or timed-out attempt.
	timerRelease
	// timerRecheck dispatches a group of cold servers again.
	timerRecheck
)

// timerEvent is a timer and its target. The target may have ended or changed when the
// timer fires, which the handler checks.
type timerEvent struct {
	at      time.Time
	kind    timerKind
	query   event.QueryID
	leg     int
	round   int
	attempt event.AttemptID
	group   *groupState
}

// setTimer adds a timer; timers are never removed before they fire.
func (s *System) setTimer(d timerEvent) { s.timers.Set(d.at, d) }

// fireTimers handles the timers that are due.
func (s *System) fireTimers(now time.Time) {
	for {
		d, ok := s.timers.Pop(now)
		if !ok {
			return
		}
		s.fire(now, d)
	}
}

func (s *System) fire(now time.Time, t timerEvent) {
	switch t.kind {
	case timerRelease:
		s.release(s.attempts[t.attempt])
		return
	case timerRecheck:
		s.markDirty(t.group.key)
		return
	}
	q := s.queries[t.query]
	if q == nil || q.Answered {
		return
	}
	switch t.kind {
	case timerDeadline:
		s.answerAtDeadline(now, q)
	case timerPatience:
		s.answerAfterPatience(now, q)
	case timerHedge:
		if q.Round == t.round {
			s.hedge(now, q, t.leg)
		}
	case timerRequeue:
		if q.Round == t.round && q.Legs[t.leg].State == LegWaiting {
			s.enqueue(q, t.leg)
		}
	}
}
