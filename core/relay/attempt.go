package relay

import (
	"math"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

const (
	// connectionFraction is the fraction of a server's connection limit that the live
	// instances use together. The rest is reserved for instances that join or leave.
	connectionFraction = 0.9
	// defaultConnections is the limit for a server whose pool sets none.
	defaultConnections = 64
	// A server whose slowness is below healthySlowness counts as healthy and has a capacity
	// of at least minHealthyCapacity exchanges, because the computed capacity is imprecise
	// for servers with few slots. Below severeSlowness the minimum is one exchange less, and
	// from severeSlowness on it is one exchange.
	healthySlowness    = 2
	severeSlowness     = 5
	minHealthyCapacity = 3
	// capacityFraction is the fraction of a route's target that a request may spend at a
	// server, including its time in the server's queue. The rest is for network delay,
	// for holding the request before admission and for a further attempt.
	capacityFraction = 0.6
	// maxAttemptsPerLeg limits the attempts of one leg, including refused ones.
	maxAttemptsPerLeg = 6
)

// attemptKind is the reason for which an attempt is sent.
type attemptKind int

// The kinds of attempts.
const (
	firstAttempt attemptKind = iota
	retryAttempt
	hedgeAttempt
)

// eligible reports whether a server is usable and in a region that may execute the request.
func (s *System) eligible(q *Request, b *roster.Server) bool {
	return s.Servers.Usable(b) && !s.excludedVersion(b) && s.allowsRegion(q, b)
}

// connectionLimit returns the maximum number of connections that this instance opens to
// each server of a group.
func (s *System) connectionLimit(group string) int {
	limit := s.pools[group].Connections
	if limit == 0 {
		return defaultConnections
	}
	return max(1, int(connectionFraction*float64(limit)/float64(s.instanceCount)))
}

// capacity returns how many exchanges this instance may have in flight at a server. For
// a gathering route this is the instance's share of the exchanges that the server can
// answer within the route's target: more would queue there and make all answers late.
func (s *System) capacity(r *model.Route, b *roster.Server) int {
	limit := s.connectionLimit(b.Group)
	if len(r.Gather) == 0 || r.Target == 0 {
		return limit
	}
	atServer := capacityFraction * float64(r.Target)
	// An exchange that gets a free slot doesn't queue, however long its execution takes.
	perSlot := max(1, atServer/s.serverServiceTime(r.Name, b))
	inTime := float64(max(b.Slots, 1)) * perSlot / float64(s.instanceCount)
	// The last measured slowness applies without decay: a slow server gets few exchanges at
	// a time until an answer shows that it has recovered, and no burst just because its
	// estimate has decayed.
	switch slowness := b.LastSlowness(); {
	case slowness < healthySlowness:
		capacity := max(minHealthyCapacity, inTime)
		if delay, measured := s.measuredDelay(b.DataCentre); measured {
			// Exchanges in transit don't occupy the server.
			capacity = math.Ceil(capacity * (1 + float64(delay)/atServer))
		}
		return min(limit, int(capacity))
	case slowness < severeSlowness:
		return min(limit, max(minHealthyCapacity-1, int(inTime)))
	default:
		return min(limit, max(1, int(inTime)))
	}
}

// chooseServer returns the server for a leg's next attempt, or nil if none is available now:
// the one with the lowest cost, or, with Options.Spill, a nearer one that is expected to answer
// in time. It returns a server that the leg has tried before only if
// allowTried is set.
func (s *System) chooseServer(now time.Time, q *Request, l *Leg, allowTried bool) (best *roster.Server) {
	if d := s.division(l.Group); d != nil {
		return s.chooseVersion(now, q, l, allowTried, d)
	}
	return s.chooseAmong(now, q, l, allowTried, nil)
}

// chooseAmong does the same among the servers for which among holds; nil means all of them.
func (s *System) chooseAmong(now time.Time, q *Request, l *Leg, allowTried bool, among func(b *roster.Server) bool) (best *roster.Server) {
	var minCost time.Duration
	near := s.beginNear(q, l)
	for _, b := range s.Servers.Group(l.Group) {
		if !s.eligible(q, b) {
			continue
		}
		if near {
			s.considerNear(now, b)
		}
		if s.unavailable(now, q, l, b, allowTried) != "" {
			continue
		}
		if among != nil && !among(b) {
			continue
		}
		if q.Isolated && b.IsolatedAttempts > 0 {
			// If the server crashed, the crash would be attributed to both requests.
			continue
		}
		cost := s.cost(now, q.Route, b)
		if near {
			s.addNear(now, q.Route, b, cost)
		}
		if best == nil || cost < minCost {
			best, minCost = b, cost
		}
	}
	if near {
		return s.chooseNear(now, q, l)
	}
	return best
}

// unavailable returns why a server that the rules allow can't get a leg's next attempt now, or "".
func (s *System) unavailable(now time.Time, q *Request, l *Leg, b *roster.Server, allowTried bool) string {
	switch {
	case now.Before(b.DownUntil):
		return "it accepts no connections"
	case !b.TakesRequest(now):
		return "it has turned requests away"
	case b.InFlight >= s.capacity(q.Route, b):
		return "this instance's part of its capacity is in use"
	case !allowTried && l.tried(b.ID):
		return "an attempt was sent to it before"
	case !s.allowsColdRequest(now, b):
		return "it is cold"
	case s.limitWait(now, b) > 0:
		return "it is at its rate limit"
	default:
		return ""
	}
}

// send sends one attempt.
func (s *System) send(now time.Time, q *Request, leg int, b *roster.Server, kind attemptKind) {
	l := &q.Legs[leg]
	if q.AttemptCount == 0 {
		s.customers.countAdmitted(q.Customer)
		s.shed.serve(now, q)
	}
	q.AttemptCount++
	a := &Attempt{
		ID: event.AttemptID{
			Instance: s.Self.ID, Incarnation: s.Self.Incarnation, Query: q.Query, Leg: leg, Number: q.AttemptCount,
		},
		Server: b, Leg: leg, SentAt: now, BaselineLatency: s.baselineLatency(q.Route.Name, b.DataCentre), Route: q.Route.Name,
		Identity: q.Identity(), Restricted: s.restricted(q), WasIsolated: q.Isolated,
	}
	if a.WasIsolated {
		s.recordIsolatedAttempt(q, a)
	}
	l.Sent = append(l.Sent, a)
	l.Running++
	b.InFlight++
	s.attempts[a.ID] = a
	s.recordColdRequest(now, b)
	s.recordLimited(b)
	s.spillCounts(b.DataCentre).Exchanges++
	s.countRestricted(q, a)
	decision := s.recordSent(now, l.Group, kind)
	expectedLatency := s.expectedLatency(now, q.Route, b)
	q.addStep(now, event.Step{Decision: decision, Server: b.ID, Group: l.Group, DataCentre: b.DataCentre, Expected: expectedLatency})
	s.Out.Emit(event.SendExchange{
		Attempt: a.ID, RequestID: q.RequestID, Server: b.ID, Address: b.Address,
		Connections: s.connectionLimit(l.Group), FreshConnection: !q.Route.Idempotent, Deadline: q.AnswerBy, NetworkTime: s.roundTrip(now),
		HasCustomers: q.HasCustomers, Customer: q.customerName(),
	})
	a.OverdueAt = now.Add(hedgeAfter(expectedLatency))
	hedge := timerEvent{kind: timerHedge, request: q.Query, leg: leg, attempt: a.ID}
	if a.OverdueAt.Before(q.AnswerBy) {
		s.timers.Set(a.OverdueAt, hedge)
	}
	if at := now.Add(a.BaselineLatency + hedgeMargin); at.Before(a.OverdueAt) && at.Before(q.AnswerBy) {
		if _, ok := s.reported(now, b); ok {
			s.timers.Set(at, hedge)
		}
	}
}

// roundTrip returns how much of an attempt's time passes between this instance and a near server.
func (s *System) roundTrip(now time.Time) time.Duration {
	if s.Network == nil {
		return 0
	}
	return s.Network.RoundTrip(now)
}

// recordSent counts an attempt and returns the name of its kind in the request log.
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

// cancel cancels an exchange whose reply is no longer needed.
func (s *System) cancel(a *Attempt) {
	if a.Ended || a.Cancelled {
		return
	}
	a.Cancelled = true
	s.Out.Emit(event.CancelExchange{Attempt: a.ID})
}
