package relay

import (
	"math"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

const (
	// connectionPart is the part of a server's connections that the instances use
	// together; the rest is left to those that come and go.
	connectionFraction = 0.9
	// unlimitedConnections stands for a server without a bound.
	defaultConnections = 64
	// soundFactor is the slowness up to which a server counts as sound, and soundRoom the
	// exchanges that it gets at least: the estimate is rough where slots are few. From
	// slowFactor on it gets one at a time.
	healthySlowness = 2
	severeSlowness  = 5
	minHealthyCapacity   = 3
	// roomPart is the part of a route's target that a request may spend at a server, its
	// wait there included; the rest is for the way, for holding, and for another attempt.
	capacityFraction = 0.6
	// maxExchanges bounds the attempts of one leg, refused ones included.
	maxAttemptsPerLeg = 6
)

// attemptKind says why an attempt is sent.
type attemptKind int

const (
	firstAttempt attemptKind = iota
	retryAttempt
	hedgeAttempt
)

// permitted reports whether a server may get a route's requests at all.
func (s *System) eligible(r *model.Route, b *roster.Server) bool {
	if !s.Servers.Usable(b) {
		return false
	}
	return len(r.Regions) == 0 || slices.Contains(r.Regions, s.Options.Regions[b.DataCentre])
}

// connections returns the most connections that this instance opens to a server.
func (s *System) connectionLimit(group string) int {
	limit := s.table.Pool(group).Connections
	if limit == 0 {
		return defaultConnections
	}
	return max(1, int(connectionFraction*float64(limit)/float64(s.instanceCount)))
}

// room returns how many exchanges this instance may have in flight at a server. For a
// gathering route it is this instance's share of what the server can answer by the
// route's target: more would wait there and make all answers late.
func (s *System) capacity(r *model.Route, b *roster.Server) int {
	limit := s.connectionLimit(b.Group)
	if len(r.Gather) == 0 || r.Target == 0 {
		return limit
	}
	atServer := capacityFraction * float64(r.Target)
	// What takes a free slot doesn't wait.
	perSlot := max(1, atServer/s.serverServiceTime(r.Name, b))
	inTime := float64(max(b.Slots, 1)) * perSlot / float64(s.instanceCount)
	// A server that was slow is taken for slow until an answer tells otherwise: it gets few
	// exchanges at a time, and not a burst because its estimate has faded.
	switch slowness := b.LastSlowness(); {
	case slowness < healthySlowness:
		capacity := max(minHealthyCapacity, inTime)
		if delay, measured := s.measuredDelay(b.DataCentre); measured {
			// Those on the way take none of the server's time.
			capacity = math.Ceil(capacity * (1 + float64(delay)/atServer))
		}
		return min(limit, int(capacity))
	case slowness < severeSlowness:
		return min(limit, max(minHealthyCapacity-1, int(inTime)))
	default:
		return min(limit, max(1, int(inTime)))
	}
}

// choose returns the server for a leg's next attempt, or nil when none can take it
// now. A server that the leg has tried is chosen only if again is set.
func (s *System) chooseServer(now time.Time, q *Request, l *Leg, allowTried bool) (best *roster.Server) {
	var minCost time.Duration
	for _, b := range s.Servers.Group(l.Group) {
		if !s.eligible(q.Route, b) || now.Before(b.DownUntil) || b.InFlight >= s.capacity(q.Route, b) || (!allowTried && l.tried(b.ID)) || !s.allowsColdRequest(now, b) {
			continue
		}
		if q.Isolated && b.IsolatedAttempts > 0 {
			// If the server crashed, both requests would be blamed.
			continue
		}
		if cost := s.cost(now, q.Route, b); best == nil || cost < minCost {
			best, minCost = b, cost
		}
	}
	return best
}

// send sends one attempt.
func (s *System) send(now time.Time, q *Request, leg int, b *roster.Server, kind attemptKind) {
	l := &q.Legs[leg]
	q.AttemptCount++
	a := &Attempt{
		ID: event.AttemptID{
			Instance: s.Self.ID, Incarnation: s.Self.Incarnation, Query: q.Query, Leg: leg, Number: q.AttemptCount,
		},
		Server: b, Leg: leg, SentAt: now, BaselineLatency: s.baselineLatency(q.Route.Name, b.DataCentre), Route: q.Route.Name,
		Fingerprint: q.Fingerprint, Alone: q.Isolated,
	}
	if a.Alone {
		s.recordIsolatedAttempt(now, q, a)
	}
	l.Sent = append(l.Sent, a)
	l.Running++
	b.InFlight++
	s.attempts[a.ID] = a
	s.recordColdRequest(now, b)
	what := s.recordSent(now, l.Group, kind)
	expectedLatency := s.expectedLatency(now, q.Route, b)
	q.addStep(now, event.Step{What: what, Server: b.ID, Group: l.Group, Expected: expectedLatency})
	s.Out.Emit(event.SendExchange{
		Attempt: a.ID, Name: q.Name, Server: b.ID, Address: b.Address,
		Connections: s.connectionLimit(l.Group), FreshConnection: !q.Route.Idempotent, Deadline: q.AnswerBy,
	})
	if at := now.Add(hedgeAfter(expectedLatency)); at.Before(q.AnswerBy) {
		s.timers.Set(at, timerEvent{kind: timerHedge, request: q.Query, leg: leg, attempt: a.ID})
	}
}

// countSent counts an attempt and returns its name in logs.
func (s *System) recordSent(now time.Time, group string, kind attemptKind) string {
	switch kind {
	case retryAttempt:
		s.Counters.AttemptsRetry++
		s.recordExtraAttempt(now, group)
		return "retried"
	case hedgeAttempt:
		s.Counters.AttemptsHedge++
		s.recordExtraAttempt(now, group)
		return "hedged"
	default:
		s.Counters.AttemptsFirst++
		return "sent"
	}
}

// cancel ends an exchange whose reply is no longer wanted.
func (s *System) cancel(a *Attempt) {
	if a.Ended || a.Cancelled {
		return
	}
	a.Cancelled = true
	s.Out.Emit(event.CancelExchange{Attempt: a.ID})
}
