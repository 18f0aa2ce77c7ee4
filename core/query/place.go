package query

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/warm"
)

// leaveRetry is the wait before the owners of a group's cold servers are asked
// again.
const leaveRetry = 30 * time.Millisecond

// place tries to send a waiting leg. It returns false when the leg has to wait
// for room; otherwise the leg was sent or is missing.
func (s *System) place(now time.Time, q *Query, leg int) (settled bool) {
	l := &q.Legs[leg]
	if q.Snapshot == 0 && q.Attempts == 0 {
		q.Snapshot = s.newestSnapshot(q.Service, q.Legs)
	}
	if reason := s.missingFor(q, l); reason != "" {
		s.cannotPlace(now, q, leg, reason)
		return true
	}
	if s.condemned(now, q) {
		s.miss(now, q, leg, event.MissingPoison)
		return true
	}
	suspect := s.suspect(now, q)
	if suspect && s.Suspects.Get(now, q.Fingerprint).InFlight > 0 {
		return false
	}
	b := s.choose(now, q, l, suspect)
	if b == nil {
		s.askForLeave(now, q, l)
		return false
	}
	kind := FirstAttempt
	if len(l.Tried) > 0 {
		kind = RetryAttempt
	}
	s.send(now, q, leg, b, kind)
	if kind == FirstAttempt && !suspect {
		s.warmBeside(now, q, leg, b)
	}
	return true
}

func (s *System) suspect(now time.Time, q *Query) bool {
	return s.Suspects.Get(now, q.Fingerprint) != nil
}

func (s *System) condemned(now time.Time, q *Query) bool {
	e := s.Suspects.Get(now, q.Fingerprint)
	return e != nil && e.State == event.SuspicionCondemned
}

// cannotPlace settles a leg that no server of its group can take: the query
// starts again on another plan, or the group is missing.
func (s *System) cannotPlace(now time.Time, q *Query, leg int, reason event.MissingReason) {
	if reason == event.MissingSnapshot || reason == event.MissingEpoch {
		if s.restart(now, q) {
			return
		}
	}
	s.miss(now, q, leg, reason)
}

// eligible reports whether an attempt of a leg may go to a server, but for room.
func (s *System) eligible(q *Query, l *Leg, b *limit.Server) bool {
	return q.Snapshot != 0 && s.usable(b) && b.Serves(q.Snapshot, q.Service.Epoch) && !slices.Contains(l.Tried, b.ID)
}

// choose returns the server for a leg's next attempt, or nil when none has room:
// the warm one with the least expected time, else a cold one that this instance
// may send to. Urgent and non-idempotent requests wait for a warm server where
// the group has one.
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

// better reports whether server a is to be preferred to b; a tie is broken at
// random, so that instances don't all choose the first.
func (s *System) better(a, b *limit.Server) bool {
	x, y := a.ExpectedLatency(), b.ExpectedLatency()
	if x != y {
		return x < y
	}
	return s.Rand.IntN(2) == 0
}

// askForLeave asks the owners of the group's cold servers for leave, when no
// server is warm. The group is looked at again soon: a request for leave may be
// lost, and an owner may have to wait before it sends.
func (s *System) askForLeave(now time.Time, q *Query, l *Leg) {
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
	if now.Before(g.kickAt) {
		return
	}
	g.kickAt = now.Add(leaveRetry)
	s.setTimer(due{at: g.kickAt, kind: timerKick, group: g})
}

// warmBeside sends a copy of a leg to a cold server of the group that this
// instance owns and that is idle, so that it warms up at the cost of extra work
// and not of the answer's latency.
func (s *System) warmBeside(now time.Time, q *Query, leg int, first *limit.Server) {
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

// send sends one attempt.
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
	if e := s.Suspects.Get(now, q.Fingerprint); e != nil {
		a.Isolated = true
		e.InFlight++
		b.SuspectInFlight++
	}
	b.InFlight++
	l.Sent = append(l.Sent, a)
	s.attempts[a.ID] = a
	s.countSent(kind)
	s.Out.Emit(s.sendCommand(q, l, a))
	if kind == FirstAttempt {
		s.hedges.earn()
		s.extras.earn()
	}
	if kind == FirstAttempt || kind == RetryAttempt {
		s.armHedge(now, q, leg, b)
	}
}

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

// armHedge sets the time at which a leg gets a second attempt.
func (s *System) armHedge(now time.Time, q *Query, leg int, b *limit.Server) {
	if !s.Options.Hedging || q.Class.NonIdempotent || s.suspect(now, q) {
		return
	}
	key := limit.GroupKey{Service: q.Service.Name, Group: q.Legs[leg].Group.Name}
	wait := max(s.group(key).tail.hedgeAfter(), time.Duration(distantFactor*float64(b.MinLatency)))
	at := now.Add(wait)
	if at.Before(q.AnswerBy) {
		s.setTimer(due{at: at, kind: timerHedge, query: q.ID, leg: leg, round: q.Round})
	}
}

// hedge sends a second attempt of a leg that is still running, to a warm server
// that can answer in time, if the budget allows.
func (s *System) hedge(now time.Time, q *Query, leg int) {
	l := &q.Legs[leg]
	if l.State != LegRunning || l.Hedged || s.suspect(now, q) {
		return
	}
	b := s.choose(now, q, l, false)
	if b == nil || b.State != limit.Warm {
		// No server has room now; one may have soon.
		s.setTimer(due{at: now.Add(hedgeRetry), kind: timerHedge, query: q.ID, leg: leg, round: q.Round})
		return
	}
	if now.Add(b.ExpectedLatency()).After(q.AnswerBy) {
		return
	}
	if !s.hedges.spend() {
		s.Counters.BudgetRefused++
		return
	}
	s.extras.spend()
	l.Hedged = true
	s.send(now, q, leg, b, HedgeAttempt)
}
