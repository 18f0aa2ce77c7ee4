package query

import (
	"time"

	"hyssoppitch/core/event"
)

// timerKind says what a timer is for.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerPatience
	timerHedge
	timerRequeue
	timerRelease
	timerRecheck
)

// due is one due time. Its target may be gone or have moved on when it comes: the
// handler checks.
type timerEvent struct {
	at      time.Time
	kind    timerKind
	query   event.QueryID
	leg     int
	round   int
	attempt event.AttemptID
	group   *groupState
}

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
