package relay

import (
	"maps"
	"slices"
	"time"

	"hyssoppitch/core/event"
)

// stopRetryAfter is the Retry-After of a request that this instance can't serve before it stops.
// Another instance can serve it at once.
const stopRetryAfter = 10 * time.Millisecond

// StopBy limits the deadlines of all requests, now and later, to the time at which the instance
// stops. Each of them is answered or refused by then.
func (s *System) StopBy(at time.Time) {
	s.stopBy = at
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if q := s.requests[id]; !q.Done && q.AnswerBy.After(at) {
			q.AnswerBy = at
			s.timers.Set(at, timerEvent{kind: timerDeadline, request: id})
		}
	}
	for _, r := range s.early {
		s.timers.Set(at, timerEvent{kind: timerStartWait, request: r.Query})
	}
}

// beforeStop limits a deadline to the time at which the instance stops, if it shuts down.
func (s *System) beforeStop(deadline time.Time) time.Time {
	if !s.stopBy.IsZero() && s.stopBy.Before(deadline) {
		return s.stopBy
	}
	return deadline
}

// stopsTooSoon reports whether the instance stops before the answer to a request can be expected.
// A server would get the request, and its caller would not learn the outcome.
func (s *System) stopsTooSoon(now time.Time, q *Request) bool {
	usual := max(q.Route.Target, hedgeAfter(s.baselineLatency(q.Route.Name, s.Self.DataCentre)))
	return s.endedByStop(q) && now.Add(usual).After(q.AnswerBy)
}

// refuseStopping refuses a request whose answer can't be expected before the instance stops.
func (s *System) refuseStopping(now time.Time, q *Request) {
	s.refuse(now, q, event.RefuseLeaving, stopRetryAfter, "this instance stops before the answer can be expected")
}

// endedByStop reports whether the deadline of a request is the time at which the instance stops.
func (s *System) endedByStop(q *Request) bool {
	return !s.stopBy.IsZero() && !q.AnswerBy.Before(s.stopBy)
}
