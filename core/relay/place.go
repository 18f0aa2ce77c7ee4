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
	connectionPart = 0.9
	// unlimitedConnections stands for a server without a bound.
	unlimitedConnections = 64
	// soundFactor is the slowness up to which a server counts as sound, and soundRoom the
	// exchanges that it gets at least: the estimate is rough where slots are few. From
	// slowFactor on it gets one at a time.
	soundFactor = 2
	slowFactor  = 5
	soundRoom   = 3
	// roomPart is the part of a route's target that a request may spend at a server, its
	// wait there included; the rest is for the way, for holding, and for another attempt.
	roomPart = 0.6
	// maxExchanges bounds the attempts of one leg, refused ones included.
	maxExchanges = 6
)

// attemptKind says why an attempt is sent.
type attemptKind int

const (
	firstAttempt attemptKind = iota
	retryAttempt
	hedgeAttempt
)

// permitted reports whether a server may get a route's requests at all.
func (s *System) permitted(r *model.Route, b *roster.Server) bool {
	if !s.Servers.Usable(b) {
		return false
	}
	return len(r.Regions) == 0 || slices.Contains(r.Regions, s.Options.Regions[b.DataCentre])
}

// connections returns the most connections that this instance opens to a server.
func (s *System) connections(group string) int {
	most := s.table.Pool(group).Connections
	if most == 0 {
		return unlimitedConnections
	}
	return max(1, int(connectionPart*float64(most)/float64(s.instances)))
}

// room returns how many exchanges this instance may have in flight at a server. For a
// gathering route it is this instance's share of what the server can answer by the
// route's target: more would wait there and make all answers late.
func (s *System) room(r *model.Route, b *roster.Server) int {
	most := s.connections(b.Group)
	if len(r.Gather) == 0 || r.Target == 0 {
		return most
	}
	atServer := roomPart * float64(r.Target)
	// What takes a free slot doesn't wait.
	perSlot := max(1, atServer/s.busy(r.Name, b))
	inTime := float64(max(b.Slots, 1)) * perSlot / float64(s.instances)
	// A server that was slow is taken for slow until an answer tells otherwise: it gets few
	// exchanges at a time, and not a burst because its estimate has faded.
	switch factor := b.Measured(); {
	case factor < soundFactor:
		room := max(soundRoom, inTime)
		if way, sure := s.measuredWay(b.DataCentre); sure {
			// Those on the way take none of the server's time.
			room = math.Ceil(room * (1 + float64(way)/atServer))
		}
		return min(most, int(room))
	case factor < slowFactor:
		return min(most, max(soundRoom-1, int(inTime)))
	default:
		return min(most, max(1, int(inTime)))
	}
}

// choose returns the server for a leg's next attempt, or nil when none can take it
// now. A server that the leg has tried is chosen only if again is set.
func (s *System) choose(now time.Time, q *Request, l *Leg, again bool) (best *roster.Server) {
	var least time.Duration
	for _, b := range s.Servers.Group(l.Group) {
		if !s.permitted(q.Route, b) || now.Before(b.DownUntil) || b.InFlight >= s.room(q.Route, b) || (!again && l.tried(b.ID)) || !s.bearable(now, b) {
			continue
		}
		if q.Trial && b.Trials > 0 {
			// If the server crashed, both requests would be blamed.
			continue
		}
		if cost := s.cost(now, q.Route, b); best == nil || cost < least {
			best, least = b, cost
		}
	}
	return best
}

// send sends one attempt.
func (s *System) send(now time.Time, q *Request, leg int, b *roster.Server, kind attemptKind) {
	l := &q.Legs[leg]
	q.Attempts++
	a := &Attempt{
		ID: event.AttemptID{
			Instance: s.Self.ID, Incarnation: s.Self.Incarnation, Query: q.Query, Leg: leg, Number: q.Attempts,
		},
		Server: b, Leg: leg, SentAt: now, Usual: s.usual(q.Route.Name, b.DataCentre), Route: q.Route.Name,
		Fingerprint: q.Fingerprint, Alone: q.Trial,
	}
	if a.Alone {
		s.trialSent(now, q, a)
	}
	l.Sent = append(l.Sent, a)
	l.Running++
	b.InFlight++
	s.attempts[a.ID] = a
	s.tap(now, b)
	what := s.countSent(now, l.Group, kind)
	expected := s.expected(now, q.Route, b)
	q.note(now, event.Step{Decision: what, Server: b.ID, Group: l.Group, Expected: expected})
	s.Out.Emit(event.SendExchange{
		Attempt: a.ID, RequestID: q.RequestID, Server: b.ID, Address: b.Address,
		Connections: s.connections(l.Group), FreshConnection: !q.Route.Idempotent, Deadline: q.AnswerBy,
	})
	if at := now.Add(hedgeAfter(expected)); at.Before(q.AnswerBy) {
		s.timers.Set(at, due{kind: dueHedge, request: q.Query, leg: leg, attempt: a.ID})
	}
}

// countSent counts an attempt and returns its name in logs.
func (s *System) countSent(now time.Time, group string, kind attemptKind) string {
	switch kind {
	case retryAttempt:
		s.Counters.AttemptsRetry++
		s.spend(now, group)
		return "retried"
	case hedgeAttempt:
		s.Counters.AttemptsHedge++
		s.spend(now, group)
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
