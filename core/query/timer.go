package query

import (
	"container/heap"
	"time"

	"hyssoppitch/core/event"
)

// timerKind says what a timer is for.
type timerKind int

const (
	timerAnswer timerKind = iota
	timerPatience
	timerHedge
	timerRequeue
	timerRelease
	timerKick
)

// timer is one due time. Its target may be gone or have moved on when it fires:
// the handler checks.
type timer struct {
	at      time.Time
	kind    timerKind
	query   event.QueryID
	leg     int
	round   int
	attempt event.AttemptID
	group   *groupState
	// order makes timers of one moment fire in the order they were set.
	order uint64
}

// timerHeap orders timers by due time; it implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

func (s *System) setTimer(t timer) {
	s.timerOrder++
	t.order = s.timerOrder
	heap.Push(&s.timers, t)
}

// fireTimers handles the timers that are due.
func (s *System) fireTimers(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		s.fire(now, heap.Pop(&s.timers).(timer))
	}
}

func (s *System) fire(now time.Time, t timer) {
	switch t.kind {
	case timerRelease:
		s.release(s.attempts[t.attempt])
		return
	case timerKick:
		s.markDirty(t.group.key)
		return
	}
	q := s.queries[t.query]
	if q == nil || q.Answered {
		return
	}
	switch t.kind {
	case timerAnswer:
		s.answerAtDeadline(now, q)
	case timerPatience:
		s.answerIfEnough(now, q)
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
