package query

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/warm"
)

// groupRecheckInterval is the delay before the waiting legs of a group of cold
// servers are placed again, and the owners of the servers asked for grants again.
const groupRecheckInterval = 30 * time.Millisecond

// place tries to send a waiting leg. It returns false when the leg has to wait
// for a server with capacity; otherwise the leg was sent or is missing, or the
// query was restarted.
func (s *System) place(now time.Time, q *Query, leg int) (placed bool) {
	l := &q.Legs[leg]
	if q.Snapshot == 0 && q.Attempts == 0 {
		q.Snapshot = s.newestSnapshot(q.Service, q.Legs)
	}
	if reason := s.unplaceableReason(q, l); reason != "" {
		s.handleUnplaceable(now, q, leg, reason)
		return true
	}
	if s.isCondemned(now, q) {
		s.markMissing(now, q, leg, event.MissingPoison)
		return true
	}
	isSuspect := s.isSuspect(now, q)
	if isSuspect && s.Suspects.Isolated(q.Fingerprint) > 0 {
		return false
	}
	b := s.choose(now, q, l, isSuspect)
	if b == nil {
		s.requestColdGrants(now, q, l)
		return false
	}
	kind := FirstAttempt
	if len(l.Tried) > 0 {
		kind = RetryAttempt
	}
	s.send(now, q, leg, b, kind)
	if kind == FirstAttempt && !isSuspect {
		s.sendWarmingCopy(now, q, leg, b)
	}
	return true
}

// isSuspect reports whether the query is suspected, or known, to crash servers.
func (s *System) isSuspect(now time.Time, q *Query) bool {
	return s.Suspects.Get(now, q.identity()) != nil
}

// isCondemned reports whether the query is known to crash servers.
func (s *System) isCondemned(now time.Time, q *Query) bool {
	e := s.Suspects.Get(now, q.identity())
	return e != nil && e.State == event.SuspicionCondemned
}

// handleUnplaceable handles a leg that no server of its group can run. It restarts
// the query on another plan if the servers serve another snapshot or shard map, and
// otherwise marks the leg as missing.
func (s *System) handleUnplaceable(now time.Time, q *Query, leg int, reason event.MissingReason) {
	if reason == event.MissingSnapshot || reason == event.MissingEpoch {
		if s.restart(now, q) {
			return
		}
	}
	s.markMissing(now, q, leg, reason)
}

// eligible reports whether an attempt of a leg may go to a server, leaving aside
// whether the server has capacity.
func (s *System) eligible(q *Query, l *Leg, b *limit.Server) bool {
	return q.Snapshot != 0 && s.usable(b) && b.Serves(q.Snapshot, q.Service.Epoch) && !slices.Contains(l.Tried, b.ID)
}

// choose returns the server for a leg's next attempt, or nil when none has
// capacity. It prefers the warm server with the lowest expected latency, and then a
// cold server that this instance may send to. Urgent and non-idempotent requests
// wait for a warm server if the group has one.
func (s *System) choose(now time.Time, q *Query, l *Leg, suspect bool) (best *limit.Server) {
	var cold *limit.Server
	hasWarm := false
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		if !s.eligible(q, l, b) || (suspect && b.SuspectInFlight > 0) {
			continue
		}
		if b.State == limit.Cold {
			if cold == nil && s.Warm.MaySend(now, b) {
				cold = b
			}
			continue
		}
		hasWarm = true
		if b.InFlight < int(b.Limit) && (best == nil || s.better(b, best)) {
			best = b
		}
	}
	if best != nil {
		return best
	}
	if hasWarm && (q.Class.Urgent || q.Class.NonIdempotent) {
		return nil
	}
	return cold
}

// better reports whether server a is preferred to b. Ties are broken at random, so
// that the instances don't all choose the first server.
func (s *System) better(a, b *limit.Server) bool {
	x, y := a.ExpectedLatency(), b.ExpectedLatency()
	if x != y {
		return x < y
	}
	return s.Rand.IntN(2) == 0
}

// requestColdGrants asks the owners of the group's cold servers for grants, if the
// group has no warm server. It sets a timer that tries to place the group's legs
// again, since a grant request may be lost, and since an owner may have to wait
// before it may send or grant.
func (s *System) requestColdGrants(now time.Time, q *Query, l *Leg) {
	group := s.Servers.Group(q.Service.Name, l.Group.Name)
	for _, b := range group {
		if s.eligible(q, l, b) && b.State == limit.Warm {
			return
		}
	}
	for _, b := range group {
		if s.eligible(q, l, b) {
			s.Warm.RequestGrant(now, b)
		}
	}
	g := s.group(limit.GroupKey{Service: q.Service.Name, Group: l.Group.Name})
	if now.Before(g.recheckAt) {
		return
	}
	g.recheckAt = now.Add(groupRecheckInterval)
	s.setTimer(timerEvent{at: g.recheckAt, kind: timerRecheck, group: g})
}

// sendWarmingCopy sends a copy of a leg to a cold server of the group, if this
// instance owns one whose allowance is not used up. The server warms up at the cost
// of extra requests, without adding to the latency of the answer.
func (s *System) sendWarmingCopy(now time.Time, q *Query, leg int, first *limit.Server) {
	l := &q.Legs[leg]
	if first.State == limit.Cold || q.Class.NonIdempotent {
		return
	}
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		if b.State == limit.Cold && b.Owned && s.eligible(q, l, b) && s.Warm.MaySend(now, b) {
			s.send(now, q, leg, b, WarmingAttempt)
			return
		}
	}
}

// send sends an attempt of a leg to a server and records it with the query, the
// server and the budgets.
func (s *System) send(now time.Time, q *Query, leg int, b *limit.Server, kind AttemptKind) {
	l := &q.Legs[leg]
	q.Attempts++
	q.PossiblyRun++
	l.State = LegRunning
	l.Running++
	l.Tried = append(l.Tried, b.ID)
	a := &Attempt{
		ID: event.AttemptID{
			Instance: s.Self.ID, Incarnation: s.Self.Incarnation, Query: q.ID,
			Leg: q.Service.GroupAt(l.Group.Keys.From), Number: q.Attempts,
		},
		Server: b, Kind: kind, Round: q.Round, Leg: leg, Fingerprint: q.Fingerprint,
		SentAt: now, Deadline: q.AnswerBy,
	}
	if b.State == limit.Cold {
		a.ToCold = true
		a.Grant = s.Warm.TakeGrant(b)
		a.Deadline = now.Add(warm.MaxAttemptTime)
	}
	if e := s.Suspects.Get(now, q.identity()); e != nil {
		a.Isolated = true
		s.Suspects.BeginIsolated(q.Fingerprint)
		b.SuspectInFlight++
	}
	b.InFlight++
	l.Sent = append(l.Sent, a)
	s.attempts[a.ID] = a
	s.countSent(kind)
	s.Out.Emit(s.sendCommand(q, l, a))
	if kind == FirstAttempt {
		s.hedgeBudget.recordFirst()
		s.extraBudget.recordFirst()
	}
	if kind == FirstAttempt || kind == RetryAttempt {
		s.armHedge(now, q, leg, b)
	}
}

// sendCommand returns the command that sends an attempt.
func (s *System) sendCommand(q *Query, l *Leg, a *Attempt) event.SendAttempt {
	c := event.SendAttempt{
		Attempt: a.ID, Server: a.Server.ID, Address: a.Server.Address,
		Service: q.Service.Name, Group: l.Group.Name, Snapshot: q.Snapshot, Epoch: q.Service.Epoch,
		Key: q.Request.Key, Body: q.Request.Body, Deadline: a.Deadline,
	}
	if q.Class.NonIdempotent {
		c.OnceKey = q.Request.IdempotencyKey
	}
	return c
}

func (s *System) countSent(kind AttemptKind) {
	switch kind {
	case FirstAttempt:
		s.Counters.AttemptsFirst++
	case RetryAttempt:
		s.Counters.AttemptsRetry++
	case HedgeAttempt:
		s.Counters.AttemptsHedge++
	case WarmingAttempt:
		s.Counters.AttemptsWarming++
	}
}

// armHedge sets the timer after which a leg that is still running is hedged.
func (s *System) armHedge(now time.Time, q *Query, leg int, b *limit.Server) {
	if !s.Options.Hedging || q.Class.NonIdempotent || s.isSuspect(now, q) {
		return
	}
	key := limit.GroupKey{Service: q.Service.Name, Group: q.Legs[leg].Group.Name}
	delay := max(s.group(key).latencyQuantile.hedgeDelay(), time.Duration(minLatencyHedgeFactor*float64(b.MinLatency)))
	at := now.Add(delay)
	if at.Before(q.AnswerBy) {
		s.setTimer(timerEvent{at: at, kind: timerHedge, query: q.ID, leg: leg, round: q.Round})
	}
}

// hedge sends a second attempt of a leg that is still running to a warm server
// that is expected to answer in time, if the hedge budget allows.
func (s *System) hedge(now time.Time, q *Query, leg int) {
	l := &q.Legs[leg]
	if l.State != LegRunning || l.Hedged || s.isSuspect(now, q) {
		return
	}
	b := s.choose(now, q, l, false)
	if b == nil || b.State != limit.Warm {
		// No warm server has capacity now, but one may have it soon.
		s.setTimer(timerEvent{at: now.Add(hedgeRetryDelay), kind: timerHedge, query: q.ID, leg: leg, round: q.Round})
		return
	}
	if now.Add(b.ExpectedLatency()).After(q.AnswerBy) {
		return
	}
	if !s.hedgeBudget.tryTake() {
		s.Counters.BudgetRefused++
		return
	}
	s.extraBudget.tryTake()
	l.Hedged = true
	s.send(now, q, leg, b, HedgeAttempt)
}
